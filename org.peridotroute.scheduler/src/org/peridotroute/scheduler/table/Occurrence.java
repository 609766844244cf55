package org.peridotroute.scheduler.table;

import java.util.ArrayList;
import java.util.List;
import org.peridotroute.scheduler.model.StepId;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;

/** Progress of one occurrence of a job. Confined to the control thread. */
public final class Occurrence {
  private final int number;
  private final List<StepProgress> steps;

  Occurrence(Submission submission, int number) {
    this.number = number;
    List<StepProgress> created = new ArrayList<>();
    List<StepSpec> specs = submission.request().steps();
    for (int i = 0; i < specs.size(); i++) {
      created.add(new StepProgress(new StepId(submission.id(), number, i), specs.get(i)));
    }
    steps = List.copyOf(created);
  }

  /** Returns the number of the occurrence, from 0. */
  public int number() {
    return number;
  }

  /** Returns the steps, indexed by their number. */
  public List<StepProgress> steps() {
    return steps;
  }

  /** Returns whether all steps are done. */
  public boolean isDone() {
    return steps.stream().allMatch(StepProgress::isDone);
  }

  /**
   * Returns whether a step may start.
   *
   * @param step the step
   * @return whether all steps that it depends on are done
   */
  public boolean isReady(StepProgress step) {
    return step.spec().after().stream().allMatch(earlier -> steps.get(earlier).isDone());
  }
}
