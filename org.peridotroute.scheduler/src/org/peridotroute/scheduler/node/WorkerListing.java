package org.peridotroute.scheduler.node;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.dispatch.Dispatcher;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.port.KeyedRecord;

/**
 * Handles the descriptions that workers publish of themselves, while this VM plans. Confined to the
 * control thread.
 */
final class WorkerListing implements TopicFollower.Listener {
  private final SchedulerVm.Decoder decoder;
  private final Supplier<Dispatcher> dispatcher;
  private final Map<WorkerId, WorkerInfo> registeredWorkers = new HashMap<>();

  /**
   * Creates a listing.
   *
   * @param decoder decodes the descriptions
   * @param dispatcher returns the planner of the current term, null while this VM does not plan
   */
  WorkerListing(SchedulerVm.Decoder decoder, Supplier<Dispatcher> dispatcher) {
    this.decoder = decoder;
    this.dispatcher = dispatcher;
  }

  /** Returns the descriptions of the workers that are listed now. */
  Collection<WorkerInfo> listed() {
    return Collections.unmodifiableCollection(registeredWorkers.values());
  }

  /** Forgets all workers, before a term begins. */
  void clear() {
    registeredWorkers.clear();
  }

  @Override
  public void onRecord(KeyedRecord record) {
    if (dispatcher.get() == null) {
      return;
    }
    if (record.value() == null) {
      removeWorker(record.key());
      return;
    }
    Optional<WorkerInfo> decoded = decoder.decodeWorker(record.key(), record.value());
    if (decoded.isEmpty()) {
      return;
    }
    WorkerInfo info = decoded.get();
    if (!info.equals(registeredWorkers.put(info.id(), info))) {
      dispatcher.get().onWorkerListed(info);
    }
  }

  @Override
  public void onLoaded(Set<String> keys) {
    registeredWorkers.keySet().stream()
        .filter(id -> !keys.contains(id.value()))
        .toList()
        .forEach(id -> removeWorker(id.value()));
  }

  private void removeWorker(String key) {
    registeredWorkers.keySet().stream()
        .filter(id -> id.value().equals(key))
        .toList()
        .forEach(
            id -> {
              registeredWorkers.remove(id);
              dispatcher.get().onWorkerUnlisted(id);
            });
  }
}
