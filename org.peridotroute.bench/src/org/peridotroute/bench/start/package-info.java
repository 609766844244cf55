/** Measures how long a process takes from its start to the first run that it starts. */
package org.peridotroute.bench.start;
