package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.plan.PlanView.OrganisationShare;
import org.peridotroute.scheduler.plan.PlanView.PendingStep;
import org.peridotroute.scheduler.plan.PlanView.WorkerView;

/**
 * Runs steps of one priority on workers with eight accelerators each, with a scheduling pass each
 * 250 ms. Each task takes its expected duration.
 */
final class FleetModel {
  private static final long PASS_MILLIS = 250;
  private static final long GUARANTEED_ACCELERATORS = 16;

  private record Run(PendingStep step, WorkerId worker, long endMillis) {}

  private final GangFirstPlacer placer;
  private final int workerCount;
  private final List<Run> runs = new ArrayList<>();

  FleetModel(PlanSettings settings, int workerCount) {
    placer = new GangFirstPlacer(settings);
    this.workerCount = workerCount;
  }

  /**
   * Runs steps from their acceptance on.
   *
   * @param worst the least usefulness that counts
   * @return the steps that completed and were at least as useful
   */
  List<PendingStep> complete(List<PendingStep> steps, long untilMillis, PlanView.Usefulness worst) {
    Map<PendingStep, List<Integer>> waiting = new HashMap<>();
    steps.forEach(step -> waiting.put(step, new ArrayList<>(step.tasks())));
    List<PendingStep> completed = new ArrayList<>();
    for (long now = PlanFixtures.NOW; now < untilMillis; now += PASS_MILLIS) {
      long passMillis = now;
      List<PendingStep> pending =
          steps.stream()
              .filter(step -> step.waitingSinceMillis() <= passMillis)
              .filter(step -> !waiting.get(step).isEmpty())
              .map(step -> PlanFixtures.withTasks(step, waiting.get(step)))
              .toList();
      for (PlacementDecision decision : placer.decide(view(pending, now))) {
        PlacementDecision.Start start = (PlacementDecision.Start) decision;
        PendingStep step =
            steps.stream().filter(one -> one.step().equals(start.step())).findAny().orElseThrow();
        long endMillis = now + step.durationMillis();
        start.workers().forEach((task, worker) -> runs.add(new Run(step, worker, endMillis)));
        waiting.get(step).removeAll(start.workers().keySet());
        if (waiting.get(step).isEmpty() && step.usefulness(now).compareTo(worst) <= 0) {
          completed.add(step);
        }
      }
    }
    return completed;
  }

  private PlanView view(List<PendingStep> pending, long nowMillis) {
    runs.removeIf(run -> run.endMillis() <= nowMillis);
    Map<WorkerId, Long> usedByWorker = new HashMap<>();
    Map<String, OrganisationShare> shares = new HashMap<>();
    for (Run run : runs) {
      long used = run.step().spec().reserved().accelerators();
      usedByWorker.merge(run.worker(), used, Long::sum);
      shares.merge(
          run.step().job().organisation(),
          new OrganisationShare(GUARANTEED_ACCELERATORS, used),
          (one, other) ->
              new OrganisationShare(
                  GUARANTEED_ACCELERATORS, one.acceleratorsInUse() + other.acceleratorsInUse()));
    }
    List<WorkerView> workers = new ArrayList<>();
    for (int i = 0; i < workerCount; i++) {
      long used = usedByWorker.getOrDefault(new WorkerId("w-" + i), 0L);
      workers.add(PlanFixtures.worker(i, 8 - used, 0));
    }
    return new PlanView(nowMillis, workers, pending, List.of(), 0, List.of(), shares);
  }
}
