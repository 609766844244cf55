/**
 * Placement policy: decides where a queued job runs, which accelerators are reclaimed for a
 * guarantee, and which jobs can never run. Performs no I/O and reads no clock; works on immutable
 * views. The main entry point is {@link org.peridotroute.policy.GuaranteedBestFit}.
 */
package org.peridotroute.policy;
