package org.peridotroute.scheduler;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.standin.world.SimulatedCluster;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;

/** Random faults of VMs, workers, the log and the network, and the seeds to try. */
final class RandomFaults {
  private RandomFaults() {}

  /** Returns the range FROM-TO of the system property, set for longer runs. */
  static LongStream seeds() {
    String[] range = System.getProperty("peridotroute.world.seeds", "1-30").split("-", 2);
    return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
  }

  /** Injects one fault, which ends by itself except for those of {@link #endAll}. */
  static void inject(SimulatedCluster cluster, Random random) {
    List<String> vms = cluster.vmNames();
    String vm =
        random.nextBoolean()
            ? cluster.planner().orElse(vms.get(0))
            : vms.get(random.nextInt(vms.size()));
    List<WorkerId> workers = cluster.workerIds();
    WorkerId worker = workers.get(random.nextInt(workers.size()));
    int millis = 200 + random.nextInt(6_000);
    switch (random.nextInt(8)) {
      case 0 -> cluster.kill(vm, millis);
      case 1 -> cluster.pause(vm, millis);
      case 2 -> {
        cluster.setLogFault(vm, List.of(LogFault.values()).get(random.nextInt(4)));
        cluster.time().after(millis, () -> cluster.setLogFault(vm, LogFault.NONE));
      }
      case 3 -> {
        LogFault fault = List.of(LogFault.values()).get(random.nextInt(4));
        vms.forEach(name -> cluster.setLogFault(name, fault));
        cluster
            .time()
            .after(millis, () -> vms.forEach(name -> cluster.setLogFault(name, LogFault.NONE)));
      }
      case 4 -> cluster.restartWorker(worker);
      case 5 -> {
        cluster.cut(worker, true);
        cluster.time().after(millis, () -> cluster.cut(worker, false));
      }
      case 6 -> {
        cluster.setLateCalls(0.2);
        cluster.time().after(millis, () -> cluster.setLateCalls(0));
      }
      default -> vms.forEach(name -> cluster.kill(name, 100 + random.nextInt(2_000)));
    }
  }

  /** Ends all faults of the log and the network. */
  static void endAll(SimulatedCluster cluster) {
    cluster.setLateCalls(0);
    cluster.vmNames().forEach(name -> cluster.setLogFault(name, LogFault.NONE));
    cluster.workerIds().forEach(worker -> cluster.cut(worker, false));
  }
}
