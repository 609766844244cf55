package org.peridotroute.scheduler.node;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.plan.PlacementExplanation;

/** Answer to the question where a job would go now. Immutable. */
public sealed interface JobExplanation {
  /**
   * The job is explained.
   *
   * @param submission the job
   * @param phase its phase; PENDING if it has not been submitted
   * @param steps its steps with waiting tasks whose dependencies are done; empty if it has none
   * @param stepsLeftOut number of further such steps
   * @param unavailableByRack number of listed workers of the job's service that accept no new work
   *     now, by rack: they are draining, quarantined, out of reach or in a closed data centre
   * @param basis what the explanation is based on
   */
  record Explained(
      Submission submission,
      JobPhase phase,
      List<PlacementExplanation> steps,
      int stepsLeftOut,
      Map<String, Integer> unavailableByRack,
      Basis basis)
      implements JobExplanation {
    /** Copies the collections. */
    public Explained {
      steps = List.copyOf(steps);
      unavailableByRack = Collections.unmodifiableMap(new TreeMap<>(unavailableByRack));
    }
  }

  /**
   * What an explanation is based on.
   *
   * @param vm the VM that plans
   * @param epoch epoch of its term
   * @param configurationVersion version of the configuration in force
   * @param viewAgeMillis age of the list of workers that the view was built from, -1 if the list
   *     has not been read
   * @param closedDataCentres data centres that are closed for new work; their workers are not in
   *     the view
   * @param startsWithheld whether the planner sends no starts at present, because the log or the
   *     list of workers is out of date
   */
  record Basis(
      String vm,
      long epoch,
      long configurationVersion,
      long viewAgeMillis,
      Set<String> closedDataCentres,
      boolean startsWithheld) {
    /** Copies the set. */
    public Basis {
      closedDataCentres = Set.copyOf(closedDataCentres);
    }
  }

  /**
   * This VM does not plan, so it cannot tell.
   *
   * @param planner the VM that plans as far as this one knows, null if it knows none
   */
  record NotPlanning(String planner) implements JobExplanation {}

  /** The planner knows no such job. */
  record NoSuchJob() implements JobExplanation {}

  /**
   * The job would not be accepted.
   *
   * @param reason the reason
   */
  record Refused(String reason) implements JobExplanation {}
}
