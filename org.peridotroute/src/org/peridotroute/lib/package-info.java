/** Immutable values that everything else speaks in: ids, shapes, jobs, placements, answers. */
package org.peridotroute.lib;
