package org.peridotroute.lib;

import java.util.Comparator;
import java.util.List;

/**
 * The platform's directory: its list of live and leaving VMs and workers at one point in time,
 * sorted by id.
 *
 * @param vms the entry VMs
 * @param workers the workers
 */
public record Directory(List<VmInfo> vms, List<WorkerInfo> workers) {
  /** Empty directory, used by a process until the platform has replied for the first time. */
  public static final Directory EMPTY = new Directory(List.of(), List.of());

  /** Makes defensive copies of the lists, sorted by id. */
  public Directory {
    vms = vms.stream().sorted(Comparator.comparing(VmInfo::id)).toList();
    workers = workers.stream().sorted(Comparator.comparing(WorkerInfo::id)).toList();
  }
}
