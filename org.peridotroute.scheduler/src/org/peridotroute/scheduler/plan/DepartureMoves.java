package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotroute.scheduler.model.StepId;

/**
 * Selects the runs on leaving workers that are stopped in time because they can go on elsewhere. A
 * run is moved only into capacity that is free after the decisions of the pass, and a gang moves
 * whole. Immutable.
 */
public final class DepartureMoves {
  /** Share of all runs that may move at a time. */
  private static final double MAX_MOVING_SHARE = 1 / 16.0;

  /**
   * Runs that end together and the tasks that then wait.
   *
   * @param step the step with the tasks of the runs as waiting tasks
   * @param leaveMillis time until one of their workers leaves
   * @param remainingMillis expected time until the runs end
   */
  public record Leaving(PlanView.PendingStep step, long leaveMillis, long remainingMillis) {}

  private final long stopMillis;

  /**
   * Creates the selection.
   *
   * @param stopMillis longest time that stopping a run takes
   */
  public DepartureMoves(long stopMillis) {
    this.stopMillis = stopMillis;
  }

  /**
   * Returns those of the leaving runs that should move now.
   *
   * @param view the view of the pass
   * @param decisions what the pass has decided
   * @param leaving runs on leaving workers
   * @param moving number of runs that are moving already
   */
  public List<Leaving> select(
      PlanView view, List<PlacementDecision> decisions, List<Leaving> leaving, int moving) {
    CapacityLedger ledger = ledgerAfter(view, decisions);
    int left = (int) (MAX_MOVING_SHARE * view.runningTasks().size()) - moving;
    List<Leaving> selected = new ArrayList<>();
    Set<StepId> movedGangs = new HashSet<>();
    for (Leaving runs : leaving) {
      int count = runs.step().tasks().size();
      boolean worthwhile =
          runs.step().spec().checkpoints()
              && runs.remainingMillis() > runs.leaveMillis()
              && runs.leaveMillis() >= stopMillis;
      boolean moved = movedGangs.contains(runs.step().step());
      if (worthwhile && !moved && count <= left && allocate(ledger, runs.step())) {
        left -= count;
        if (runs.step().spec().gang()) {
          movedGangs.add(runs.step().step());
        }
        selected.add(runs);
      }
    }
    return selected;
  }

  private static CapacityLedger ledgerAfter(PlanView view, List<PlacementDecision> decisions) {
    CapacityLedger ledger = new CapacityLedger(view.workers());
    Map<StepId, PlanView.PendingStep> pendingById = new HashMap<>();
    view.pendingSteps().forEach(pending -> pendingById.put(pending.step(), pending));
    for (PlacementDecision decision : decisions) {
      if (decision instanceof PlacementDecision.Start start) {
        PlanView.PendingStep pending = pendingById.get(start.step());
        start.workers().values().forEach(worker -> ledger.entry(worker).allocate(pending));
      } else if (decision instanceof PlacementDecision.Reserve reserve) {
        PlanView.PendingStep pending = pendingById.get(reserve.claim().step());
        reserve
            .claim()
            .tasksByWorker()
            .forEach((worker, tasks) -> ledger.entry(worker).claim(pending, tasks));
      }
    }
    return ledger;
  }

  /** Allocates capacity for all tasks of a step where it runs at full speed, if there is enough. */
  private static boolean allocate(CapacityLedger ledger, PlanView.PendingStep step) {
    List<CapacityLedger.Entry> candidates = ledger.candidates(step);
    String dataRack = step.spec().dataRack();
    boolean oneRack = step.spec().sameRack() || dataRack != null;
    List<List<CapacityLedger.Entry>> groups =
        oneRack ? List.copyOf(CapacityLedger.byRack(candidates).values()) : List.of(candidates);
    int count = step.tasks().size();
    for (List<CapacityLedger.Entry> group : groups) {
      boolean near = dataRack == null || group.get(0).worker().rack().equals(dataRack);
      int fitting = group.stream().mapToInt(entry -> entry.countFitting(step, count)).sum();
      if (near && fitting >= count) {
        int missing = count;
        for (CapacityLedger.Entry entry : group) {
          int taken = entry.countFitting(step, missing);
          for (int i = 0; i < taken; i++) {
            entry.allocate(step);
          }
          missing -= taken;
        }
        return true;
      }
    }
    return false;
  }
}
