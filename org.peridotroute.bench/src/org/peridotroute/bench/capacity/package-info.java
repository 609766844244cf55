/**
 * Measures the control-plane load by cluster size, with VM processes against a stand-in platform.
 */
package org.peridotroute.bench.capacity;
