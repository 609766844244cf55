package org.peridotroute.scheduler.dispatch;

import java.util.Collection;
import java.util.List;

/**
 * What a planner knows of earlier terms when its own begins.
 *
 * @param workers what is stored of workers with assigned runs
 * @param claimedMillis steady time at which the claim of the term was sent
 * @param grantsEnd when earlier planners stop extending leases
 * @param queueServices services of the queues, which the VM keeps up to date
 */
public record Inheritance(
    List<StoredWorkerRecord> workers,
    long claimedMillis,
    GrantsEnd grantsEnd,
    QueueServices queueServices) {
  /** Copies the list. */
  public Inheritance {
    workers = List.copyOf(workers);
  }

  /** Returns the inheritance of a planner that has no predecessor. */
  public static Inheritance none(long nowMillis) {
    return new Inheritance(
        List.of(), nowMillis, new GrantsEnd(nowMillis, nowMillis), new QueueServices());
  }

  Collection<WorkerRecord> records() {
    return workers.stream().map(StoredWorkerRecord::record).toList();
  }
}
