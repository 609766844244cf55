package org.peridotroute.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.VmInfo;

/**
 * Failure detector that combines the platform's directory, which lags, with the statuses received
 * from peers. A VM that has sent no status within the timeout is suspected and excluded until its
 * next status arrives. Only liveness depends on this: if two VMs suspect each other, both drive the
 * same gangs, which fencing makes safe.
 *
 * <p>Not thread-safe.
 */
public final class Membership {
  private final VmId self;
  private final long suspectMillis;
  private final Map<VmId, Long> lastStatusMillis = new HashMap<>();
  private final Map<VmId, Boolean> leaving = new HashMap<>();

  /**
   * Creates a membership that has received no status yet.
   *
   * @param self this VM
   * @param suspectMillis time without a status after which a VM is suspected
   */
  public Membership(VmId self, long suspectMillis) {
    this.self = self;
    this.suspectMillis = suspectMillis;
  }

  /**
   * Records that a status was received from a VM.
   *
   * @param vm the VM
   * @param isLeaving whether the status announces a planned stop
   * @param nowMillis monotonic time
   */
  public void recordStatus(VmId vm, boolean isLeaving, long nowMillis) {
    lastStatusMillis.put(vm, nowMillis);
    leaving.put(vm, isLeaving);
  }

  /**
   * Returns whether a VM is suspected. The timeout of a VM that has never sent a status begins with
   * the first call for it.
   *
   * @param vm a VM in the platform's directory
   * @param nowMillis monotonic time
   * @return whether it is excluded
   */
  public boolean isSuspect(VmInfo vm, long nowMillis) {
    if (vm.id().equals(self) || vm.peer() == null) {
      return false;
    }
    long lastMillis = lastStatusMillis.computeIfAbsent(vm.id(), id -> nowMillis);
    return nowMillis - lastMillis > suspectMillis;
  }

  /**
   * Returns the platform's directory without suspected VMs, and with those VMs marked as leaving
   * whose last status announced a planned stop.
   *
   * @param platformDirectory the platform's directory
   * @param nowMillis monotonic time
   * @return the directory to act on
   */
  public Directory liveDirectory(Directory platformDirectory, long nowMillis) {
    lastStatusMillis.keySet().retainAll(platformDirectory.vms().stream().map(VmInfo::id).toList());
    leaving.keySet().retainAll(lastStatusMillis.keySet());
    List<VmInfo> vms =
        platformDirectory.vms().stream()
            .filter(vm -> !isSuspect(vm, nowMillis))
            .map(this::withAnnouncedLeaving)
            .toList();
    return new Directory(vms, platformDirectory.workers());
  }

  private VmInfo withAnnouncedLeaving(VmInfo vm) {
    boolean isLeaving = vm.leaving() || leaving.getOrDefault(vm.id(), false);
    return new VmInfo(vm.id(), vm.place(), isLeaving, vm.url(), vm.peer());
  }
}
