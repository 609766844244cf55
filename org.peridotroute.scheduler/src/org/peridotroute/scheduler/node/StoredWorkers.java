package org.peridotroute.scheduler.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.dispatch.StoredWorkerRecord;
import org.peridotroute.scheduler.dispatch.WorkerRecord;
import org.peridotroute.scheduler.port.KeyedRecord;

/** What planners have stored of workers with assigned runs. Confined to the control thread. */
final class StoredWorkers {
  private final Map<WorkerId, StoredWorkerRecord> recordsById = new HashMap<>();

  /**
   * Handles a record of the progress topic; others than those of workers are ignored. A record that
   * is read again keeps the time at which it was read first.
   */
  void onRecord(KeyedRecord record, long nowMillis) {
    WorkerRecord.worker(record.key()).ifPresent(id -> put(id, record, nowMillis));
  }

  private void put(WorkerId id, KeyedRecord record, long nowMillis) {
    StoredWorkerRecord former = recordsById.remove(id);
    Optional<WorkerRecord> latest =
        record.value() == null ? Optional.empty() : WorkerRecord.read(id, record.value());
    if (latest.isPresent()) {
      boolean known = former != null && former.offset() == record.offset();
      recordsById.put(
          id,
          new StoredWorkerRecord(
              latest.get(), record.offset(), known ? former.readMillis() : nowMillis));
    }
  }

  /** Returns the records. */
  List<StoredWorkerRecord> records() {
    return List.copyOf(recordsById.values());
  }
}
