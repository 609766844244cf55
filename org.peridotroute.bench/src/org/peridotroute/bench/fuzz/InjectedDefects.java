package org.peridotroute.bench.fuzz;

import java.util.List;
import org.peridotroute.control.TaskAction;
import org.peridotroute.control.TaskCommand;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.WorkerInfo;
import org.peridotroute.policy.ClusterView;
import org.peridotroute.policy.Decision;

/** Helpers that implement injected defects. Stateless. */
final class InjectedDefects {
  private InjectedDefects() {}

  /** Returns a view in which no worker is leaving. */
  static ClusterView withoutLeaving(ClusterView view) {
    List<WorkerInfo> staying =
        view.directory().workers().stream()
            .map(
                worker ->
                    new WorkerInfo(
                        worker.id(),
                        worker.rack(),
                        worker.place(),
                        worker.accelerators(),
                        false,
                        worker.url()))
            .toList();
    Directory directory = new Directory(view.directory().vms(), staying);
    return new ClusterView(view.jobs(), view.config(), directory, view.wallMillis());
  }

  /** Returns the decisions without reclaims and with every placement marked as guaranteed. */
  static List<Decision> withoutReclaim(List<Decision> decisions) {
    return decisions.stream()
        .filter(decision -> !(decision instanceof Decision.Reclaim))
        .map(
            decision ->
                decision instanceof Decision.Place place
                    ? new Decision.Place(place.job(), place.attempt(), false, place.members())
                    : decision)
        .toList();
  }

  /** Returns a command for the same task with another action. */
  static TaskCommand withAction(TaskAction action, TaskCommand command, String lease) {
    return new TaskCommand(
        action,
        command.job(),
        command.member(),
        command.token(),
        lease,
        FuzzVm.GANG_TIMES.leaseMillis(),
        command.accelerators() == null ? List.of() : command.accelerators(),
        "");
  }
}
