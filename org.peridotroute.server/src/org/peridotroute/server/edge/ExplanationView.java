package org.peridotroute.server.edge;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.node.JobExplanation;
import org.peridotroute.scheduler.plan.PlacementExplanation;
import org.peridotroute.scheduler.plan.StepTrace;

/**
 * JSON form of an explanation. Immutable.
 *
 * @param job id of the job; an unused one if it has not been submitted
 * @param organisation its organisation, empty if its caller has no API key
 * @param queue its queue
 * @param phase its phase
 * @param steps its steps with waiting tasks whose dependencies are done
 * @param vm the VM that plans
 * @param epoch epoch of the planner's term
 * @param configurationVersion version of the configuration in force
 * @param viewAgeMillis age of the list of workers that the explanation is based on, -1 if unknown
 * @param closedDataCentres data centres that are closed for new work
 * @param startsWithheld whether the planner sends no starts at present
 * @param stepsLeftOut number of further waiting steps that are not explained
 * @param unavailableByRack number of listed workers that accept no new work now, by rack
 */
public record ExplanationView(
    String job,
    String organisation,
    String queue,
    String phase,
    List<StepView> steps,
    String vm,
    long epoch,
    long configurationVersion,
    long viewAgeMillis,
    List<String> closedDataCentres,
    boolean startsWithheld,
    int stepsLeftOut,
    Map<String, Integer> unavailableByRack) {
  /** Largest number of steps before a step that are named; their number is always given. */
  private static final int MAX_STEPS_BEFORE = 20;

  /** Value of a wait that has no end in sight. */
  public static final long NO_END_IN_SIGHT = -1;

  /** Copies the lists. */
  public ExplanationView {
    steps = List.copyOf(steps);
    closedDataCentres = List.copyOf(closedDataCentres);
  }

  /**
   * A step, as {@link PlacementExplanation} explains it.
   *
   * @param step the step
   * @param outcome what the planner would decide now
   * @param priority its priority, 0 for the most urgent
   * @param guaranteed whether the guarantee of its organisation covers it
   * @param usefulness how useful the job still is if the step starts now
   * @param waitedMillis time since the job was accepted or came due
   * @param tasks number of its waiting tasks
   * @param gang whether they start only together
   * @param position number of the steps before it
   * @param pendingSteps number of all pending steps
   * @param nearestBefore the last of the steps before it, at most 20
   * @param starts the worker of each task that would start now
   * @param claims number of tasks by worker for which capacity would be claimed
   * @param stops the runs that would be stopped
   * @param racks what each rack offers
   * @param expectedWaitMillis expected time until all its tasks fit, -1 if the ends of running
   *     tasks alone do not suffice
   * @param waitsForUrgentReserve whether it waits because the capacity is kept for urgent work
   * @param waitsForIsolation whether tasks under which workers crashed wait for workers without
   *     other jobs
   */
  public record StepView(
      String step,
      String outcome,
      int priority,
      boolean guaranteed,
      String usefulness,
      long waitedMillis,
      int tasks,
      boolean gang,
      int position,
      int pendingSteps,
      List<String> nearestBefore,
      Map<Integer, String> starts,
      Map<String, Integer> claims,
      List<StopView> stops,
      List<RackView> racks,
      long expectedWaitMillis,
      boolean waitsForUrgentReserve,
      boolean waitsForIsolation) {}

  /**
   * A run that would be stopped.
   *
   * @param task its task
   * @param run its number
   * @param worker its worker
   * @param wholeGang whether all members of its gang end with it
   */
  public record StopView(String task, int run, String worker, boolean wholeGang) {}

  /**
   * What a rack offers, as {@link StepTrace.RackFit} counts it.
   *
   * @param rack the rack
   * @param workers number of its workers that accept new work of the step's service
   * @param withoutLabel number of these without the required label
   * @param excluded number of these on which tasks of the step failed or which are in a region that
   *     is not allowed
   * @param fittingNow number of tasks that fit now
   * @param fittingAfterStops number of tasks that fit after all pending stops
   * @param fittingWhenEmpty number of tasks that would fit if the workers were empty
   * @param tasks number of tasks that have to fit
   * @param expectedWaitMillis expected time until all tasks fit there, -1 if they never do
   */
  public record RackView(
      String rack,
      int workers,
      int withoutLabel,
      int excluded,
      int fittingNow,
      int fittingAfterStops,
      int fittingWhenEmpty,
      int tasks,
      long expectedWaitMillis) {}

  static ExplanationView of(JobExplanation.Explained explained) {
    JobExplanation.Basis basis = explained.basis();
    return new ExplanationView(
        explained.submission().id().value(),
        explained.submission().organisation(),
        explained.submission().queue(),
        explained.phase().name(),
        explained.steps().stream().map(ExplanationView::step).toList(),
        basis.vm(),
        basis.epoch(),
        basis.configurationVersion(),
        basis.viewAgeMillis(),
        List.copyOf(new TreeSet<>(basis.closedDataCentres())),
        basis.startsWithheld(),
        explained.stepsLeftOut(),
        explained.unavailableByRack());
  }

  private static StepView step(PlacementExplanation step) {
    int before = step.stepsBefore().size();
    Map<Integer, String> starts = new TreeMap<>();
    step.starts().forEach((task, worker) -> starts.put(task, worker.value()));
    Map<String, Integer> claims = new TreeMap<>();
    step.claims().forEach((WorkerId worker, Integer count) -> claims.put(worker.value(), count));
    return new StepView(
        step.step().toString(),
        step.outcome().name(),
        step.priority(),
        step.guaranteed(),
        step.usefulness().name(),
        step.waitedMillis(),
        step.tasks(),
        step.gang(),
        before,
        step.pendingSteps(),
        step.stepsBefore().subList(Math.max(0, before - MAX_STEPS_BEFORE), before).stream()
            .map(StepId::toString)
            .toList(),
        starts,
        claims,
        step.stops().stream()
            .map(
                stop ->
                    new StopView(
                        stop.task().toString(),
                        stop.run(),
                        stop.worker().value(),
                        stop.wholeGang()))
            .toList(),
        step.racks().stream().map(rack -> rack(rack, step.tasks())).toList(),
        waitOrNoEnd(step.waitMillis()),
        !step.urgentReserveKept(),
        step.isolationAwaited());
  }

  private static RackView rack(StepTrace.RackFit rack, int tasks) {
    return new RackView(
        rack.rack(),
        rack.workers(),
        rack.withoutLabel(),
        rack.excluded(),
        rack.fittingNow(),
        rack.fittingAfterStops(),
        rack.fittingWhenEmpty(),
        tasks,
        waitOrNoEnd(rack.waitMillis()));
  }

  private static long waitOrNoEnd(long millis) {
    return millis == StepTrace.NEVER_MILLIS ? NO_END_IN_SIGHT : millis;
  }
}
