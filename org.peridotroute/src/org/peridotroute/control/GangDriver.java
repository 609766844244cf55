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
 * Drives the gangs assigned to this VM: prepares all members, logs the start, starts the members,
 * renews their leases together and ends them together. {@link RendezvousHashing} assigns a gang to
 * a VM. Two VMs may drive the same gang at once without harm, because each command is idempotent by
 * its fencing token and each record is validated when it is read back from the log.
 *
 * <p>Not thread-safe. The executor must run continuations on the thread that calls {@link #step}.
 */
public final class GangDriver {
  private final VmId self;
  private final GangTimes times;
  private final WorkerGateway gateway;
  private final RecordSink sink;
  private final Executor continuations;
  private final Map<Long, Gang> gangs = new TreeMap<>();
  private final Map<Long, Boolean> ownedByToken = new HashMap<>();
  private Directory lastDirectory;
  private List<VmId> driverCandidates = List.of();
  private Set<WorkerId> availableWorkers = Set.of();

  /**
   * Creates the driver.
   *
   * @param self this VM
   * @param times lease and retry intervals
   * @param gateway sends commands to workers
   * @param sink accepts proposed records
   * @param continuations runs reply handlers on the thread that steps the driver
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
   * Performs the due actions of each gang that this VM drives.
   *
   * @param state the latest state
   * @param directory VMs and workers as this VM sees them
   * @param nowMillis monotonic time
   */
  public void step(JobState state, Directory directory, long nowMillis) {
    onDirectory(directory);
    gangs.keySet().retainAll(state.allocations().keySet());
    ownedByToken.keySet().retainAll(state.allocations().keySet());
    for (Allocation allocation : state.allocations().values()) {
      boolean owned =
          ownedByToken.computeIfAbsent(allocation.token(), token -> isOwned(allocation));
      if (owned) {
        gangs
            .computeIfAbsent(allocation.token(), token -> newGang(allocation, nowMillis))
            .step(
                state.jobs().get(allocation.job()),
                allocation,
                availableWorkers::contains,
                nowMillis);
      } else {
        gangs.remove(allocation.token());
      }
    }
  }

  /** Returns the number of gangs that this VM drives. */
  public int size() {
    return gangs.size();
  }

  /** Recomputes the VMs that can drive gangs and the available workers if the directory changed. */
  @SuppressWarnings("ReferenceEquality")
  private void onDirectory(Directory latest) {
    if (lastDirectory == latest) {
      return;
    }
    lastDirectory = latest;
    ownedByToken.clear();
    driverCandidates = latest.vms().stream().filter(vm -> !vm.leaving()).map(VmInfo::id).toList();
    availableWorkers =
        latest.workers().stream()
            .filter(worker -> !worker.leaving())
            .map(WorkerInfo::id)
            .collect(Collectors.toSet());
  }

  private boolean isOwned(Allocation allocation) {
    return RendezvousHashing.select(allocation.job(), driverCandidates)
        .filter(self::equals)
        .isPresent();
  }

  private Gang newGang(Allocation allocation, long nowMillis) {
    return new Gang(allocation, times, gateway, sink, continuations, nowMillis);
  }
}
