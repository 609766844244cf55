package org.peridotroute.scheduler.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.conduct.SavedConduct;
import org.peridotroute.scheduler.port.KeyedRecord;

/**
 * Keeps on the log, for each worker with assigned runs, what a successor of this planner needs to
 * find out what became of them. Confined to the control thread.
 */
final class WorkerRecords {
  private static final long PRUNE_INTERVAL_MILLIS = 10_000;

  private final Consumer<KeyedRecord> store;
  private final Map<WorkerId, WorkerRecord> stored = new HashMap<>();
  private long lastPruneMillis;

  /**
   * Creates the records.
   *
   * @param inherited the records that earlier planners have stored
   * @param store adds a record to the next append
   */
  WorkerRecords(Collection<WorkerRecord> inherited, Consumer<KeyedRecord> store, long nowMillis) {
    this.store = store;
    inherited.forEach(record -> stored.put(record.id(), record));
    lastPruneMillis = nowMillis;
  }

  /** Stores the record of a worker if it has changed. The worker must have a description. */
  void update(WorkerState worker) {
    WorkerRecord record = WorkerRecord.of(worker);
    if (!record.equals(stored.put(worker.id(), record))) {
      store.accept(record.toRecord());
    }
  }

  /** Stores the conduct of a worker if a later planner needs to know it. */
  void updateConduct(WorkerState worker) {
    if (worker.restraint().saved().equals(SavedConduct.NONE)) {
      updateIfStored(worker);
    } else {
      update(worker);
    }
  }

  /** Updates the record of a worker that has one. */
  void updateIfStored(WorkerState worker) {
    if (worker.hasInfo() && stored.containsKey(worker.id())) {
      update(worker);
    }
  }

  /** Deletes, from time to time, the records of workers that no longer exist. */
  void prune(Predicate<WorkerId> exists, long nowMillis) {
    if (nowMillis - lastPruneMillis < PRUNE_INTERVAL_MILLIS) {
      return;
    }
    lastPruneMillis = nowMillis;
    for (WorkerId id : List.copyOf(stored.keySet())) {
      if (!exists.test(id)) {
        stored.remove(id);
        store.accept(WorkerRecord.deletion(id));
      }
    }
  }
}
