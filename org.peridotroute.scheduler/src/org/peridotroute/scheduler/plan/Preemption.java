package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.StepId;

/**
 * Decides which runs are stopped for an urgent step. With the feature {@link Feature#STOP_HISTORY}
 * a step stops others only if its caller gains more than theirs lose, unless its guarantee is due.
 * Mutable; used for one pass only.
 */
final class Preemption {
  /** Stops of a task after which only a guarantee that is due stops it again. */
  private static final int MAX_STOPS = 2;

  /**
   * Time by which the end of a run may be later than expected, or the start that follows it. A stop
   * that comes too late costs the urgent caller more than one that was not needed costs others.
   */
  private static final long WAIT_MARGIN_MILLIS = 600;

  private final PlanSettings settings;
  private final PlanView view;
  private final CapacityLedger ledger;
  private final EarliestStart earliestStart;
  private final RunIndex runs;
  private final VictimSelector victimSelector;
  private final LowestCostSelector lowestCostSelector;
  private final Map<StepId, Integer> claimedTasks = new HashMap<>();

  Preemption(
      PlanSettings settings, PlanView view, CapacityLedger ledger, EarliestStart earliestStart) {
    this.settings = settings;
    this.view = view;
    this.ledger = ledger;
    this.earliestStart = earliestStart;
    runs = new RunIndex(view.runningTasks());
    victimSelector = new VictimSelector(runs);
    lowestCostSelector = new LowestCostSelector(runs);
    for (CapacityClaim claim : view.claims()) {
      claimedTasks.put(
          claim.step(), claim.tasksByWorker().values().stream().mapToInt(Integer::intValue).sum());
    }
  }

  /**
   * Runs to stop.
   *
   * @param stops the decisions
   * @param target the group of workers in which the step fits once the runs have ended
   */
  record Plan(List<PlacementDecision> stops, List<CapacityLedger.Entry> target) {}

  /** Victims in one group of workers. */
  private record Choice(VictimSelector.Selection selection, List<CapacityLedger.Entry> target) {}

  /** Returns whether a guaranteed step has to get its capacity now to start within its bound. */
  boolean isReclaimDue(PlanView.PendingStep pending) {
    return hasWaited(pending, settings.crossRackAfterMillis());
  }

  private boolean hasWaited(PlanView.PendingStep pending, long millis) {
    return pending.guaranteed() && view.nowMillis() - pending.waitingSinceMillis() >= millis;
  }

  /**
   * Stops less urgent runs so that the step fits. A guaranteed step that would otherwise start too
   * late also stops runs of its own priority that borrow what other organisations do not use.
   *
   * @return the runs to stop, whose capacity now counts as about to be free, or null if none are
   */
  Plan stopFor(PlanView.PendingStep pending, List<List<CapacityLedger.Entry>> groups, int members) {
    Choice choice =
        settings.policy().has(Feature.STOP_HISTORY)
            ? chooseIfItPays(pending, groups, members)
            : chooseAny(pending, groups, members);
    if (choice == null) {
      return null;
    }
    for (PlanView.RunningTask victim : runs.markStopping(choice.selection().victims())) {
      CapacityLedger.Entry entry = ledger.entry(victim.worker());
      if (entry != null) {
        entry.addStopping(victim.held());
      }
    }
    claimedTasks.put(pending.step(), members);
    List<PlacementDecision> stops = new ArrayList<>();
    for (PlanView.RunningTask victim : choice.selection().victims()) {
      stops.add(new PlacementDecision.Preempt(victim.task(), victim.run(), pending.step()));
    }
    return new Plan(stops, choice.target());
  }

  private Choice chooseAny(
      PlanView.PendingStep pending, List<List<CapacityLedger.Entry>> groups, int members) {
    Choice choice = chooseAny(pending, groups, members, lessUrgent(pending));
    return choice != null || !mustStopBorrowers(pending)
        ? choice
        : chooseAny(pending, groups, members, borrowers(pending));
  }

  private Choice chooseAny(
      PlanView.PendingStep pending,
      List<List<CapacityLedger.Entry>> groups,
      int members,
      Predicate<PlanView.RunningTask> eligible) {
    return cheapest(
        groups,
        Double.MAX_VALUE,
        (group, limit) -> victimSelector.selectCheapest(pending, group, members, eligible));
  }

  private Choice chooseIfItPays(
      PlanView.PendingStep pending, List<List<CapacityLedger.Entry>> groups, int members) {
    if (!view.stopLimits().permitted()) {
      return null;
    }
    Predicate<PlanView.RunningTask> lessUrgent = lessUrgent(pending);
    Predicate<PlanView.RunningTask> rarelyStopped =
        run -> lessUrgent.test(run) && !isStoppedTooOften(run);
    if (!isReclaimDue(pending)) {
      double gain = gainCoreSeconds(pending, groups, members);
      return gain > 0 && canStartsFollow(pending, members)
          ? choose(pending, groups, members, rarelyStopped, gain)
          : null;
    }
    Choice choice = choose(pending, groups, members, rarelyStopped, Double.MAX_VALUE);
    if (choice == null) {
      choice = choose(pending, groups, members, lessUrgent, Double.MAX_VALUE);
    }
    if (choice == null && mustStopBorrowers(pending)) {
      choice = choose(pending, groups, members, borrowers(pending), Double.MAX_VALUE);
    }
    return choice;
  }

  private Choice choose(
      PlanView.PendingStep pending,
      List<List<CapacityLedger.Entry>> groups,
      int members,
      Predicate<PlanView.RunningTask> eligible,
      double maxCost) {
    return cheapest(
        groups,
        maxCost,
        (group, limit) -> lowestCostSelector.select(pending, group, members, eligible, limit));
  }

  /** Returns the cheapest choice; a group need not be searched beyond the cost of the best one. */
  private static Choice cheapest(
      List<List<CapacityLedger.Entry>> groups, double maxCost, Selector selector) {
    Choice best = null;
    for (List<CapacityLedger.Entry> group : groups) {
      double limit = best == null ? maxCost : best.selection().cost();
      VictimSelector.Selection selection = selector.select(group, limit);
      if (selection != null && (best == null || selection.cost() < best.selection().cost())) {
        best = new Choice(selection, group);
      }
    }
    return best;
  }

  /** Selects victims in a group of workers, or returns null if it finds none. */
  private interface Selector {
    VictimSelector.Selection select(List<CapacityLedger.Entry> group, double maxCost);
  }

  private static Predicate<PlanView.RunningTask> lessUrgent(PlanView.PendingStep pending) {
    return run -> run.priority() > pending.priority();
  }

  private static Predicate<PlanView.RunningTask> borrowers(PlanView.PendingStep pending) {
    return run -> run.priority() >= pending.priority() && !run.guaranteed();
  }

  private boolean mustStopBorrowers(PlanView.PendingStep pending) {
    return hasWaited(pending, settings.borrowersStopAfterMillis());
  }

  private boolean isStoppedTooOften(PlanView.RunningTask run) {
    return runs.endingWith(run).stream().anyMatch(member -> member.stops() >= MAX_STOPS);
  }

  /** Returns whether the starts on the freed capacity can be sent as soon as it is free. */
  private boolean canStartsFollow(PlanView.PendingStep pending, int members) {
    long ofOthers = 0;
    for (Map.Entry<StepId, Integer> claimed : claimedTasks.entrySet()) {
      ofOthers += claimed.getKey().equals(pending.step()) ? 0 : claimed.getValue();
    }
    return ofOthers == 0 || ofOthers + members <= view.stopLimits().maxClaimedTasks();
  }

  /**
   * Returns what the caller gains if runs are stopped for the step now. Waiting for runs to end
   * counts as good enough only if it leaves time for stops and for the start that follows them,
   * since the expected ends may be wrong.
   */
  private double gainCoreSeconds(
      PlanView.PendingStep pending, List<List<CapacityLedger.Entry>> groups, int members) {
    long waitMillis = EarliestStart.NEVER_MILLIS;
    for (List<CapacityLedger.Entry> group : groups) {
      waitMillis = Math.min(waitMillis, earliestStart.waitMillis(pending, group, members));
    }
    long startMillis = view.nowMillis() + settings.stopMillis();
    PlanView.Usefulness ifStopped = pending.usefulness(startMillis);
    PlanView.Usefulness ifWaiting =
        waitMillis == EarliestStart.NEVER_MILLIS
            ? PlanView.Usefulness.NONE
            : pending.usefulness(startMillis + WAIT_MARGIN_MILLIS + waitMillis);
    return CompletionValue.coreSeconds(pending.priority(), ifStopped)
        - CompletionValue.coreSeconds(pending.priority(), ifWaiting);
  }
}
