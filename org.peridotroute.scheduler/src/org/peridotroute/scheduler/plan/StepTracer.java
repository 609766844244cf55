package org.peridotroute.scheduler.plan;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;
import org.peridotroute.scheduler.model.StepId;

/**
 * Records what a pass finds when it is the turn of one step. It only reads the state of the pass.
 * Mutable; used for one pass only.
 */
final class StepTracer {
  private final StepId step;
  private List<StepTrace.RackFit> racks = List.of();
  private long waitMillis = StepTrace.NEVER_MILLIS;
  private boolean urgentReserveKept;
  private boolean isolationAwaited;

  StepTracer(StepId step) {
    this.step = step;
  }

  boolean isOf(PlanView.PendingStep pending) {
    return pending.step().equals(step);
  }

  /**
   * Records the racks.
   *
   * @param workers all workers of the view
   * @param candidates the workers that may run the step
   * @param groups groups of workers in which the step runs at full speed
   * @param wait returns the expected wait in a group
   */
  void onTurn(
      PlanView.PendingStep pending,
      List<PlanView.WorkerView> workers,
      List<CapacityLedger.Entry> candidates,
      List<List<CapacityLedger.Entry>> groups,
      ToLongFunction<List<CapacityLedger.Entry>> wait) {
    Map<String, List<CapacityLedger.Entry>> candidatesByRack = CapacityLedger.byRack(candidates);
    Map<String, StepTrace.RackFit> found = new TreeMap<>();
    for (PlanView.WorkerView worker : workers) {
      if (worker.service().equals(pending.service())) {
        found.computeIfAbsent(
            worker.rack(),
            rack ->
                fit(pending, rack, workers, candidatesByRack.getOrDefault(rack, List.of()), wait));
      }
    }
    racks = List.copyOf(found.values());
    waitMillis =
        groups.stream().mapToLong(wait).min().orElseGet(() -> wait.applyAsLong(candidates));
  }

  /** Records what else keeps the step from starting where it fits. */
  void onConditions(boolean urgentReserve, boolean isolation) {
    urgentReserveKept = urgentReserve;
    isolationAwaited = isolation;
  }

  private static StepTrace.RackFit fit(
      PlanView.PendingStep pending,
      String rack,
      List<PlanView.WorkerView> workers,
      List<CapacityLedger.Entry> candidates,
      ToLongFunction<List<CapacityLedger.Entry>> wait) {
    int members = pending.tasks().size();
    String label = pending.spec().requiredLabel();
    List<PlanView.WorkerView> inRack =
        workers.stream()
            .filter(worker -> worker.service().equals(pending.service()))
            .filter(worker -> worker.rack().equals(rack))
            .toList();
    return new StepTrace.RackFit(
        rack,
        inRack.size(),
        (int)
            inRack.stream()
                .filter(worker -> label != null && !worker.labels().contains(label))
                .count(),
        (int)
            inRack.stream()
                .filter(worker -> pending.excludedWorkers().contains(worker.id()))
                .count(),
        sum(candidates, members, entry -> entry.countFitting(pending, members)),
        sum(candidates, members, entry -> entry.countFittingAfterStops(pending, members)),
        sum(candidates, members, entry -> entry.countFittingWhenEmpty(pending, members)),
        wait.applyAsLong(candidates));
  }

  private static int sum(
      List<CapacityLedger.Entry> entries, int limit, ToIntFunction<CapacityLedger.Entry> count) {
    return Math.min(limit, entries.stream().mapToInt(count).sum());
  }

  StepTrace finish(List<PlacementDecision> decisions, List<PlanView.PendingStep> order) {
    return new StepTrace(
        decisions,
        order.stream().map(PlanView.PendingStep::step).toList(),
        racks,
        waitMillis,
        urgentReserveKept,
        isolationAwaited);
  }
}
