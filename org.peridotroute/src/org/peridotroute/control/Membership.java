package org.peridotroute.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.VmInfo;

/**
 * Joins the platform's list, which lags, with what this VM hears from its peers. A VM that was
 * silent for too long is suspected and left out, and comes back when it is heard again. Only
 * liveness rests on this: two VMs that suspect each other both drive, which fencing makes safe.
 *
 * <p>Used by one thread.
 */
public final class Membership {
  private final VmId self;
  private final long suspectMillis;
  private final Map<VmId, Long> heardMillis = new HashMap<>();
  private final Map<VmId, Boolean> leaving = new HashMap<>();

  /**
   * Creates a membership of this VM alone.
   *
   * @param self this VM
   * @param suspectMillis silence after which a VM is suspected
   */
  public Membership(VmId self, long suspectMillis) {
    this.self = self;
    this.suspectMillis = suspectMillis;
  }

  /**
   * Tells that a VM was heard.
   *
   * @param vm the VM
   * @param isLeaving whether it says that it is about to leave
   * @param nowMillis monotonic time
   */
  public void recordStatus(VmId vm, boolean isLeaving, long nowMillis) {
    heardMillis.put(vm, nowMillis);
    leaving.put(vm, isLeaving);
  }

  /**
   * Returns whether a VM is suspected. One that was never heard gets as long as one that was.
   *
   * @param vm a VM on the list
   * @param nowMillis monotonic time
   * @return whether it is left out
   */
  public boolean isSuspect(VmInfo vm, long nowMillis) {
    if (vm.id().equals(self) || vm.peer() == null) {
      return false;
    }
    long sinceMillis = heardMillis.computeIfAbsent(vm.id(), id -> nowMillis);
    return nowMillis - sinceMillis > suspectMillis;
  }

  /**
   * Returns the list without the VMs that are suspected, and with those marked that say they leave.
   *
   * @param listed the platform's list
   * @param nowMillis monotonic time
   * @return the list to act on
   */
  public Directory liveDirectory(Directory listed, long nowMillis) {
    heardMillis.keySet().retainAll(listed.vms().stream().map(VmInfo::id).toList());
    leaving.keySet().retainAll(heardMillis.keySet());
    List<VmInfo> vms =
        listed.vms().stream()
            .filter(vm -> !isSuspect(vm, nowMillis))
            .map(this::withLeaving)
            .toList();
    return new Directory(vms, listed.workers());
  }

  private VmInfo withLeaving(VmInfo vm) {
    boolean leaves = vm.leaving() || leaving.getOrDefault(vm.id(), false);
    return new VmInfo(vm.id(), vm.place(), leaves, vm.url(), vm.peer());
  }
}
