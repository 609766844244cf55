package org.peridotroute.server;

import java.util.List;
import java.util.Map;
import org.peridotroute.fold.Allocation;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.PlannerClaim;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.VmInfo;

/**
 * The whole state of a process at one moment, for operators.
 *
 * @param vm the VM
 * @param incarnation the run of the process
 * @param notReady why it takes no part; empty if it does
 * @param journalOffset offset up to which the journal is folded
 * @param configOffset offset up to which the configuration is folded
 * @param planner who plans
 * @param isPlanner whether that is this process
 * @param pendingDecisions decisions of this process's planner that were not read back yet
 * @param openProposals records of this process that were not read back yet
 * @param drivenGangs gangs that this process drives
 * @param httpConnections open connections to the platform and to workers
 * @param rings rings and their fill
 * @param faults broken invariants of the state; empty if it is sound
 * @param vms VMs on the platform's list
 * @param jobs jobs
 * @param allocations held accelerators
 * @param settings settings in force
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
   * How full a ring is.
   *
   * @param name its name
   * @param slots its size
   * @param used slots in use
   */
  public record RingUsage(String name, int slots, long used) {}
}
