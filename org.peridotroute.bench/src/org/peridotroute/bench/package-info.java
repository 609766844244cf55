/** Benches that print their figures as JSON, one per line, and are repeatable by seed. */
package org.peridotroute.bench;
