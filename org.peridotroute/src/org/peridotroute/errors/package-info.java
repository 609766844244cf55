/** Precise exceptions; each message names the object at fault. */
package org.peridotroute.errors;
