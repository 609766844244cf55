package org.peridotroute.server;

import java.util.List;
import java.util.Map;
import org.peridotroute.fold.Allocation;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.PlannerClaim;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.VmInfo;

/**
 * Diagnostic dump of the state of a process, for operators.
 *
 * @param vm the VM of the process
 * @param incarnation identifies this run of the process
 * @param notReady the reasons why the process is not ready; empty if it is ready
 * @param journalOffset offset of the last journal record applied
 * @param configOffset offset of the last configuration record applied
 * @param planner the current claim to the planner role, or null if there is none
 * @param isPlanner whether this process holds the planner role
 * @param pendingDecisions number of proposals of this process's planner not yet read back
 * @param openProposals number of all proposals of this process not yet read back
 * @param drivenGangs number of gangs that this process drives
 * @param httpConnections number of open connections to the platform and to workers
 * @param rings the rings and their usage
 * @param faults violated invariants of the state; empty if it is consistent
 * @param vms VMs in the platform's directory
 * @param jobs the jobs in the state
 * @param allocations the accelerators held by attempts
 * @param settings the effective settings
 */
public record Dump(
    VmId vm,
    String incarnation,
    List<String> notReady,
    long journalOffset,
    long configOffset,
    PlannerClaim planner,
    boolean isPlanner,
    int pendingDecisions,
    int openProposals,
    int drivenGangs,
    int httpConnections,
    List<RingUsage> rings,
    List<String> faults,
    List<VmInfo> vms,
    List<Job> jobs,
    List<Allocation> allocations,
    Map<String, String> settings) {
  /**
   * Usage of a ring.
   *
   * @param name the name of the ring
   * @param slots the size of the ring
   * @param used the number of slots in use
   */
  public record RingUsage(String name, int slots, long used) {}
}
