package org.peridotroute.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.stream.Collectors;
import org.peridotroute.fold.Allocation;
import org.peridotroute.fold.JobState;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.VmInfo;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.lib.WorkerInfo;

/**
 * Drives the gangs that fall to one VM: prepares all members, has the start logged, starts them,
 * renews their leases together and ends them together. Which VM drives a gang is settled by {@link
 * RendezvousHashing}; that two act at once is safe, since each command is idempotent by token and
 * each record is checked by the fold.
 *
 * <p>Stepped by one thread, the same that the executor runs continuations on.
 */
public final class GangDriver {
  private final VmId self;
  private final GangTimes times;
  private final WorkerGateway gateway;
  private final RecordSink sink;
  private final Executor continuations;
  private final Map<Long, Gang> gangs = new TreeMap<>();
  private final Map<Long, Boolean> isOwn = new HashMap<>();
  private Directory seen;
  private List<VmId> candidates = List.of();
  private Set<WorkerId> staying = Set.of();

  /**
   * Creates the driver.
   *
   * @param self the VM
   * @param times times of gangs
   * @param gateway the way to workers
   * @param sink where records are proposed
   * @param continuations runs what follows an answer on the thread that steps the driver
   */
  public GangDriver(
      VmId self, GangTimes times, WorkerGateway gateway, RecordSink sink, Executor continuations) {
    this.self = self;
    this.times = times;
    this.gateway = gateway;
    this.sink = sink;
    this.continuations = continuations;
  }

  /**
   * Does what is due for each gang of this VM.
   *
   * @param state the latest state
   * @param directory VMs and workers, in the view of this VM
   * @param nowMillis monotonic time
   */
  public void step(JobState state, Directory directory, long nowMillis) {
    take(directory);
    gangs.keySet().retainAll(state.allocations().keySet());
    isOwn.keySet().retainAll(state.allocations().keySet());
    for (Allocation allocation : state.allocations().values()) {
      boolean mine = isOwn.computeIfAbsent(allocation.token(), token -> pick(allocation));
      if (mine) {
        gangs
            .computeIfAbsent(allocation.token(), token -> newGang(allocation, nowMillis))
            .step(state.jobs().get(allocation.job()), allocation, staying::contains, nowMillis);
      } else {
        gangs.remove(allocation.token());
      }
    }
  }

  /** Returns the number of gangs that this VM drives. */
  public int size() {
    return gangs.size();
  }

  /** Works out who can drive and which workers take work, when the directory has changed. */
  @SuppressWarnings("ReferenceEquality")
  private void take(Directory latest) {
    if (seen == latest) {
      return;
    }
    seen = latest;
    isOwn.clear();
    candidates = latest.vms().stream().filter(vm -> !vm.leaving()).map(VmInfo::id).toList();
    staying =
        latest.workers().stream()
            .filter(worker -> !worker.leaving())
            .map(WorkerInfo::id)
            .collect(Collectors.toSet());
  }

  private boolean pick(Allocation allocation) {
    return RendezvousHashing.pick(allocation.job(), candidates).filter(self::equals).isPresent();
  }

  private Gang newGang(Allocation allocation, long nowMillis) {
    return new Gang(allocation, times, gateway, sink, continuations, nowMillis);
  }
}
