package org.peridotroute.lib;

import java.util.Comparator;
import java.util.List;

/**
 * The platform's list of live and leaving VMs and workers at one moment, sorted by id.
 *
 * @param vms entry VMs
 * @param workers workers
 */
public record Directory(List<VmInfo> vms, List<WorkerInfo> workers) {
  /** A list with nothing on it, as a process has before its first answer. */
  public static final Directory EMPTY = new Directory(List.of(), List.of());

  /** Copies and sorts. */
  public Directory {
    vms = vms.stream().sorted(Comparator.comparing(VmInfo::id)).toList();
    workers = workers.stream().sorted(Comparator.comparing(WorkerInfo::id)).toList();
  }
}
