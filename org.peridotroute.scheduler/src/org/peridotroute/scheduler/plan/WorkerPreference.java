package org.peridotroute.scheduler.plan;

import java.util.Comparator;

/** Which of several workers with free capacity a task prefers. Stateless. */
final class WorkerPreference {
  private WorkerPreference() {}

  /**
   * Returns 1 if urgent work would run on a slow rack or other work on a fast rack, otherwise 0.
   */
  static int speedMismatch(PlanView.PendingStep pending, CapacityLedger.Entry entry) {
    boolean slow = entry.worker().slowdown() >= PlanSettings.SLOW_RACK_THRESHOLD;
    return slow == (pending.priority() == 0) ? 1 : 0;
  }

  /**
   * Prefers workers without recent failures, then those whose speed suits the work. Then it packs
   * work that can be preempted without loss together and keeps other work away from it, so that
   * whole workers can be reclaimed without loss. Finally it prefers the fullest worker.
   */
  static Comparator<CapacityLedger.Entry> of(PlanView.PendingStep pending) {
    int direction = pending.isPreemptibleWithoutLoss() ? -1 : 1;
    return Comparator.<CapacityLedger.Entry>comparingInt(
            entry -> entry.worker().consecutiveFailures())
        .thenComparingInt(entry -> speedMismatch(pending, entry))
        .thenComparingLong(entry -> (long) direction * Long.signum(entry.preemptibleAccelerators()))
        .thenComparingLong(entry -> entry.free().accelerators())
        .thenComparingLong(entry -> entry.free().memoryMb());
  }
}
