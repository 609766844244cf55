/** Benches, each with a seed, that print one figure a line as JSON. */
package org.peridotroute.bench;
