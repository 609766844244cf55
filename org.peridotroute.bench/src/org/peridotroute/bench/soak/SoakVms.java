package org.peridotroute.bench.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.peridotroute.adapter.standin.StoreStandIn;
import org.peridotroute.bench.EdgeProcess;
import org.peridotroute.scheduler.dispatch.Term;
import org.peridotroute.scheduler.port.Topic;

/** The entry VMs of a soak, each a process. */
final class SoakVms {
  private final StoreStandIn store;
  private final List<EdgeProcess> vms = new ArrayList<>();

  SoakVms(StoreStandIn store, int count, Path home, Path folder) throws IOException {
    this.store = store;
    for (int i = 0; i < count; i++) {
      vms.add(new EdgeProcess("vm-" + i, store.address(), home, folder, List.of(), List.of()));
    }
  }

  void start() throws IOException {
    for (EdgeProcess vm : vms) {
      vm.start();
    }
  }

  void stop() throws InterruptedException {
    for (EdgeProcess vm : vms) {
      if (vm.isAlive()) {
        vm.kill();
      }
    }
  }

  List<EdgeProcess> vms() {
    return vms;
  }

  /** Returns the VM whose claim is the newest in the store, or the first one. */
  EdgeProcess planner() {
    String holder =
        Optional.ofNullable(store.newestValue(Topic.PROGRESS, Term.KEY))
            .flatMap(claim -> Term.read(claim.getBytes(StandardCharsets.UTF_8)))
            .map(claim -> claim.term().holder())
            .orElse("");
    return vms.stream().filter(vm -> vm.vm().equals(holder)).findFirst().orElse(vms.get(0));
  }

  /**
   * Starts the processes again that have ended by themselves.
   *
   * @param mayBeDown whether a fault has ended a process
   * @return their number
   */
  int restartEnded(Predicate<EdgeProcess> mayBeDown) throws IOException {
    int ended = 0;
    for (EdgeProcess vm : vms) {
      if (!mayBeDown.test(vm) && !vm.isAlive()) {
        ended++;
        vm.start();
      }
    }
    return ended;
  }
}
