/**
 * Placement policy: which waiting job goes where, what is reclaimed for a guarantee, and what can
 * never run. No I/O and no clock; called with immutable views. Begin with {@link
 * org.peridotroute.policy.GuaranteedBestFit}.
 */
package org.peridotroute.policy;
