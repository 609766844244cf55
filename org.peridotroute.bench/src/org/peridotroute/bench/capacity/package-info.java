/** Cost of control by size: real processes on loopback against stand-ins, slopes fitted. */
package org.peridotroute.bench.capacity;
