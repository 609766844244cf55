package org.peridotroute.scheduler.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.StepId;

/**
 * Places pending steps in the order of a {@link QueueOrder}. A gang goes into the best-fitting
 * rack; single tasks go to the fullest workers, so that whole racks stay free. Urgent steps may
 * preempt lower-priority work, unless they are expired and no guarantee covers them; the victims
 * are those that lose the least work. What they free stays claimed for the step over the following
 * passes. Immutable.
 */
public final class GangFirstPlacer implements Placer {
  private final PlanSettings settings;
  private final QueueOrder order;

  /**
   * Creates the placer.
   *
   * @param settings limits and factors that the decisions depend on
   */
  public GangFirstPlacer(PlanSettings settings) {
    this.settings = settings;
    order = QueueOrder.of(settings.policy());
  }

  @Override
  public List<PlacementDecision> decide(PlanView view) {
    return new Pass(view, null).run();
  }

  @Override
  public StepTrace trace(PlanView view, StepId step) {
    StepTracer tracer = new StepTracer(step);
    Pass pass = new Pass(view, tracer);
    return tracer.finish(pass.run(), pass.queue);
  }

  /** State of one scheduling pass. */
  private final class Pass {
    private final PlanView view;
    private final StepTracer tracer;
    private final CapacityLedger ledger;
    private final Preemption preemption;
    private final EarliestStart earliestStart;
    private final List<PlacementDecision> decisions = new ArrayList<>();
    private final List<PlanView.PendingStep> queue;
    private final ClaimTable claims;
    private CapacityClaim ownClaim;
    private long heldAccelerators;

    Pass(PlanView view, StepTracer tracer) {
      this.view = view;
      this.tracer = tracer;
      ledger = new CapacityLedger(view.workers());
      earliestStart = new EarliestStart(view.runningTasks());
      preemption = new Preemption(settings, view, ledger, earliestStart);
      queue = new ArrayList<>(view.pendingSteps());
      queue.sort(order.comparator(view));
      claims = new ClaimTable(ledger, view.claims(), queue);
    }

    List<PlacementDecision> run() {
      for (PlanView.PendingStep pending : queue) {
        if (preemption.isReclaimDue(pending)) {
          claims.dropThoseWithoutGuarantee();
        }
        ownClaim = claims.release(pending);
        List<CapacityLedger.Entry> candidates = ledger.candidates(pending);
        if (tracer != null && tracer.isOf(pending)) {
          traceTurn(pending, candidates);
        }
        if (pending.spec().gang()) {
          placeGang(pending, candidates);
        } else {
          placeTasks(pending, candidates);
        }
      }
      return decisions;
    }

    private void traceTurn(PlanView.PendingStep pending, List<CapacityLedger.Entry> candidates) {
      int members = pending.tasks().size();
      tracer.onTurn(
          pending,
          view.workers(),
          candidates,
          fullSpeedGroups(pending, candidates, members),
          group -> earliestStart.waitMillis(pending, group, members));
      tracer.onConditions(
          preservesUrgentReserve(pending, pending.spec().gang() ? members : 1),
          !pending.suspects().tasks().isEmpty() && mayWaitForIsolation(pending));
    }

    /** Returns the workers on which the step at hand has claimed capacity. */
    private List<CapacityLedger.Entry> claimedEntries() {
      return ownClaim == null
          ? List.of()
          : ownClaim.tasksByWorker().keySet().stream().sorted().map(ledger::entry).toList();
    }

    /** Starts a gang on the capacity that it has claimed, if all of it is free. */
    private boolean startOnClaim(PlanView.PendingStep pending, int members) {
      List<CapacityLedger.Entry> entries = claimedEntries();
      if (bestFit(pending, List.of(entries), members) == null) {
        return false;
      }
      addStart(pending, allocate(pending, entries, members));
      return true;
    }

    /**
     * Returns whether the claim of a step provides for its remaining tasks, and keeps their
     * capacity if it does.
     */
    private boolean keepClaim(PlanView.PendingStep pending, int remaining) {
      List<CapacityLedger.Entry> entries = claimedEntries();
      int fitting =
          entries.stream()
              .mapToInt(
                  entry ->
                      entry.countFittingAfterStops(
                          pending, ownClaim.tasksByWorker().get(entry.worker().id())))
              .sum();
      if (fitting < remaining) {
        return false;
      }
      reserve(pending, entries, remaining);
      return true;
    }

    private void placeGang(PlanView.PendingStep pending, List<CapacityLedger.Entry> candidates) {
      int members = pending.tasks().size();
      if (!pending.suspects().tasks().isEmpty()
          && placeIsolatedGang(pending, candidates, members)) {
        return;
      }
      List<List<CapacityLedger.Entry>> groups = fullSpeedGroups(pending, candidates, members);
      if (!preservesUrgentReserve(pending, members)) {
        hold(pending, groups, members);
        return;
      }
      List<CapacityLedger.Entry> best = bestFit(pending, groups, members);
      if (best != null) {
        addStart(pending, allocate(pending, best, members));
        return;
      }
      if (startOnClaim(pending, members)
          || keepClaim(pending, members)
          || reserveStoppingCapacity(pending, groups, members)) {
        return;
      }
      if (mayPreempt(pending) && preempt(pending, groups, members)) {
        return;
      }
      boolean urgentAndLate = pending.priority() == 0 && willMissObjective(pending);
      if (preemption.isReclaimDue(pending)
          || groups.isEmpty()
          || urgentAndLate
          || hasWaitedWhileIdle(pending)) {
        boolean placed = placeAcrossRacks(pending, candidates, members);
        if (!placed && settings.policy().has(Feature.STOP_HISTORY)) {
          hold(pending, groups, members);
        }
      } else {
        hold(pending, groups, members);
      }
    }

    /**
     * Places a gang with a suspect member on workers without other jobs, or lets it wait for such
     * workers.
     *
     * @return false if it has waited long enough and may be placed beside others
     */
    private boolean placeIsolatedGang(
        PlanView.PendingStep pending, List<CapacityLedger.Entry> candidates, int members) {
      List<CapacityLedger.Entry> unshared = CapacityLedger.unshared(pending, candidates);
      List<CapacityLedger.Entry> best =
          bestFit(pending, fullSpeedGroups(pending, unshared, members), members);
      if (best != null && preservesUrgentReserve(pending, members)) {
        Map<Integer, WorkerId> assignment = allocate(pending, best, members);
        assignment.values().forEach(id -> ledger.entry(id).isolateFor(pending.step().job()));
        addStart(pending, assignment);
        return true;
      }
      if (mayWaitForIsolation(pending)) {
        ledger.vacateFor(pending, candidates);
        return true;
      }
      return false;
    }

    private boolean mayWaitForIsolation(PlanView.PendingStep pending) {
      return view.nowMillis() < pending.suspects().isolateUntilMillis();
    }

    private boolean isMostlyIdle() {
      return 2 * ledger.unusedAccelerators() > ledger.totalAccelerators();
    }

    /**
     * Returns whether the gang has waited long enough, while most accelerators are idle, that
     * running slowly across racks is better than waiting for one rack.
     */
    private boolean hasWaitedWhileIdle(PlanView.PendingStep pending) {
      return isMostlyIdle()
          && view.nowMillis() - pending.waitingSinceMillis()
              >= settings.maxRackWaitWhileIdleMillis();
    }

    private boolean mayPreempt(PlanView.PendingStep pending) {
      return pending.priority() == 0
          && (pending.guaranteed() || !pending.isExpired(view.nowMillis()));
    }

    /**
     * Holds capacity for a gang that cannot start yet, in the group where it can start first, so
     * that smaller work later in the queue does not take each accelerator that becomes free.
     */
    private void hold(
        PlanView.PendingStep pending, List<List<CapacityLedger.Entry>> groups, int members) {
      long need = members * pending.spec().reserved().accelerators();
      if (isMostlyIdle()
          || pending.isExpired(view.nowMillis())
          || heldAccelerators + need > settings.maxHeldFraction() * ledger.totalAccelerators()) {
        return;
      }
      List<CapacityLedger.Entry> best = null;
      long bestWaitMillis = EarliestStart.NEVER_MILLIS;
      int bestFits = -1;
      for (List<CapacityLedger.Entry> group : groups) {
        long waitMillis = earliestStart.waitMillis(pending, group, members);
        int fits =
            group.stream().mapToInt(entry -> entry.countFittingAfterStops(pending, members)).sum();
        if (waitMillis < bestWaitMillis || (waitMillis == bestWaitMillis && fits > bestFits)) {
          best = group;
          bestWaitMillis = waitMillis;
          bestFits = fits;
        }
      }
      if (best == null) {
        return;
      }
      heldAccelerators += need;
      List<CapacityLedger.Entry> sorted = new ArrayList<>(best);
      sorted.sort(
          Comparator.comparingInt(
                  (CapacityLedger.Entry entry) -> -entry.countFittingAfterStops(pending, members))
              .thenComparingLong(entry -> -entry.preemptibleAccelerators()));
      int remaining = members;
      for (CapacityLedger.Entry entry : sorted) {
        int count = entry.countFittingWhenEmpty(pending, remaining);
        for (int i = 0; i < count; i++) {
          entry.hold(
              pending,
              bestWaitMillis == EarliestStart.NEVER_MILLIS ? 0 : bestWaitMillis,
              mayPreempt(pending));
        }
        remaining -= count;
      }
    }

    /**
     * Returns whether future urgent work can still get its reserve without loss after the given
     * number of tasks has started. Work that can be preempted without loss does not reduce the
     * reserve.
     */
    private boolean preservesUrgentReserve(PlanView.PendingStep pending, int tasks) {
      if (pending.priority() == 0 || pending.isPreemptibleWithoutLoss()) {
        return true;
      }
      long allocated = tasks * pending.spec().reserved().accelerators();
      return ledger.acceleratorsWithoutLoss() - allocated >= view.urgentReserve();
    }

    private boolean placeAcrossRacks(
        PlanView.PendingStep pending, List<CapacityLedger.Entry> candidates, int members) {
      List<List<CapacityLedger.Entry>> all = List.of(candidates);
      if (bestFit(pending, all, members) != null) {
        addStart(pending, allocate(pending, candidates, members));
        return true;
      }
      return reserveStoppingCapacity(pending, all, members)
          || (mayPreempt(pending) && preempt(pending, all, members));
    }

    /**
     * Returns the groups of workers in which the step runs at full speed and would fit if they were
     * empty.
     */
    private List<List<CapacityLedger.Entry>> fullSpeedGroups(
        PlanView.PendingStep pending, List<CapacityLedger.Entry> candidates, int members) {
      String dataRack = pending.spec().dataRack();
      if (!pending.spec().sameRack() && dataRack == null) {
        return List.of(candidates);
      }
      List<List<CapacityLedger.Entry>> groups = new ArrayList<>();
      CapacityLedger.byRack(candidates)
          .forEach(
              (rack, entries) -> {
                int fitting =
                    entries.stream()
                        .mapToInt(entry -> entry.countFittingWhenEmpty(pending, members))
                        .sum();
                if ((dataRack == null || dataRack.equals(rack)) && fitting >= members) {
                  groups.add(entries);
                }
              });
      return groups;
    }

    /**
     * Returns the best-fitting group with enough free capacity, or null if there is none. Urgent
     * work prefers fast racks and other work slow racks; among those the group with the fewest free
     * accelerators wins.
     */
    private List<CapacityLedger.Entry> bestFit(
        PlanView.PendingStep pending, List<List<CapacityLedger.Entry>> groups, int members) {
      Comparator<List<CapacityLedger.Entry>> preference =
          Comparator.<List<CapacityLedger.Entry>>comparingInt(
                  group ->
                      group.stream()
                          .mapToInt(entry -> WorkerPreference.speedMismatch(pending, entry))
                          .max()
                          .orElse(0))
              .thenComparingLong(
                  group -> group.stream().mapToLong(entry -> entry.free().accelerators()).sum());
      return groups.stream()
          .filter(
              group ->
                  group.stream().mapToInt(entry -> entry.countFitting(pending, members)).sum()
                      >= members)
          .min(preference)
          .orElse(null);
    }

    /**
     * Allocates tasks to the workers of a group in order of preference, fullest first among equals.
     */
    private Map<Integer, WorkerId> allocate(
        PlanView.PendingStep pending, List<CapacityLedger.Entry> group, int members) {
      Map<Integer, WorkerId> assignment = new LinkedHashMap<>();
      List<CapacityLedger.Entry> sorted = new ArrayList<>(group);
      sorted.sort(WorkerPreference.of(pending));
      int next = 0;
      for (CapacityLedger.Entry entry : sorted) {
        int count = entry.countFitting(pending, members - next);
        for (int i = 0; i < count; i++) {
          assignment.put(pending.tasks().get(next), entry.worker().id());
          entry.allocate(pending);
          next++;
        }
      }
      return assignment;
    }

    private void addStart(PlanView.PendingStep pending, Map<Integer, WorkerId> assignment) {
      if (!assignment.isEmpty()) {
        decisions.add(new PlacementDecision.Start(pending.step(), assignment));
      }
    }

    /**
     * Reserves capacity that pending stops will release, if the gang will fit once they have ended.
     */
    private boolean reserveStoppingCapacity(
        PlanView.PendingStep pending, List<List<CapacityLedger.Entry>> groups, int members) {
      for (List<CapacityLedger.Entry> group : groups) {
        int fitting =
            group.stream().mapToInt(entry -> entry.countFittingAfterStops(pending, members)).sum();
        if (fitting >= members) {
          reserve(pending, group, members);
          return true;
        }
      }
      return false;
    }

    private void reserve(
        PlanView.PendingStep pending, List<CapacityLedger.Entry> group, int members) {
      Map<WorkerId, Integer> tasksByWorker = new HashMap<>();
      int remaining = members;
      for (CapacityLedger.Entry entry : group) {
        int count = entry.countFittingAfterStops(pending, remaining);
        for (int i = 0; i < count; i++) {
          entry.reserve(pending);
        }
        entry.protectReservation();
        remaining -= count;
        if (count > 0) {
          tasksByWorker.put(entry.worker().id(), count);
        }
      }
      if (mayPreempt(pending)) {
        decisions.add(
            new PlacementDecision.Reserve(new CapacityClaim(pending.step(), tasksByWorker)));
      }
    }

    private boolean preempt(
        PlanView.PendingStep pending, List<List<CapacityLedger.Entry>> groups, int members) {
      Preemption.Plan plan = preemption.stopFor(pending, groups, members);
      if (plan == null) {
        return false;
      }
      decisions.addAll(plan.stops());
      reserve(pending, plan.target(), members);
      return true;
    }

    private boolean willMissObjective(PlanView.PendingStep pending) {
      return view.nowMillis() + pending.durationMillis() > pending.objectiveMillis();
    }

    private void placeTasks(PlanView.PendingStep pending, List<CapacityLedger.Entry> candidates) {
      String dataRack = pending.spec().dataRack();
      List<CapacityLedger.Entry> nearData =
          dataRack == null
              ? candidates
              : candidates.stream()
                  .filter(entry -> dataRack.equals(entry.worker().rack()))
                  .toList();
      Map<Integer, WorkerId> assignment = new HashMap<>();
      List<Integer> postponed = placeSuspects(pending, candidates, assignment);
      boolean mayLeaveDataRack =
          dataRack != null && (nearData.isEmpty() || mayLeaveDataRack(pending));
      for (int task : pending.tasks()) {
        if (assignment.containsKey(task) || postponed.contains(task)) {
          continue;
        }
        if (!preservesUrgentReserve(pending, 1)) {
          break;
        }
        CapacityLedger.Entry entry = bestEntry(pending, nearData);
        if (entry == null && mayLeaveDataRack) {
          entry = bestEntry(pending, candidates);
        }
        if (entry == null) {
          break;
        }
        entry.allocate(pending);
        assignment.put(task, entry.worker().id());
      }
      addStart(pending, assignment);
      int remaining = pending.tasks().size() - assignment.size() - postponed.size();
      if (remaining > 0 && mayPreempt(pending)) {
        List<CapacityLedger.Entry> target = nearData.isEmpty() ? candidates : nearData;
        if (!keepClaim(pending, remaining)
            && !reserveStoppingCapacity(pending, List.of(target), remaining)) {
          preempt(pending, List.of(target), remaining);
        }
      }
    }

    /**
     * Assigns suspect tasks to workers without other jobs.
     *
     * @return the tasks that wait for such a worker
     */
    private List<Integer> placeSuspects(
        PlanView.PendingStep pending,
        List<CapacityLedger.Entry> candidates,
        Map<Integer, WorkerId> assignment) {
      List<Integer> postponed = new ArrayList<>();
      for (int task : pending.tasks()) {
        if (!pending.suspects().tasks().contains(task)) {
          continue;
        }
        if (!preservesUrgentReserve(pending, 1)) {
          break;
        }
        CapacityLedger.Entry entry =
            bestEntry(pending, CapacityLedger.unshared(pending, candidates));
        if (entry != null) {
          entry.allocate(pending);
          entry.isolateFor(pending.step().job());
          assignment.put(task, entry.worker().id());
        } else if (mayWaitForIsolation(pending)) {
          postponed.add(task);
        }
      }
      if (!postponed.isEmpty()) {
        ledger.vacateFor(pending, candidates);
      }
      return postponed;
    }

    /** Returns whether the task would finish sooner away from its data than by waiting longer. */
    private boolean mayLeaveDataRack(PlanView.PendingStep pending) {
      long remoteMillis = (long) (pending.durationMillis() * settings.farFactor());
      return pending.priority() == 0
          || view.nowMillis() + remoteMillis
              > pending.objectiveMillis() - pending.durationMillis() / 2;
    }

    private CapacityLedger.Entry bestEntry(
        PlanView.PendingStep pending, List<CapacityLedger.Entry> entries) {
      CapacityLedger.Entry found = null;
      Comparator<CapacityLedger.Entry> preference = WorkerPreference.of(pending);
      for (CapacityLedger.Entry entry : entries) {
        if (entry.countFitting(pending, 1) > 0
            && (found == null || preference.compare(entry, found) < 0)) {
          found = entry;
        }
      }
      return found;
    }
  }
}
