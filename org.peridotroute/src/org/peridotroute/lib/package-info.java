/** Immutable value types shared by all packages: ids, shapes, job specifications, placements. */
package org.peridotroute.lib;
