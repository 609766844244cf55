package org.peridotroute.scheduler.model;

/**
 * Identity of one step of one occurrence of a job.
 *
 * @param job job that the step belongs to
 * @param occurrence number of the occurrence, from 0; 0 for a job that runs once
 * @param step number of the step, from 0
 */
public record StepId(JobId job, int occurrence, int step) {
  @Override
  public String toString() {
    return job + "." + occurrence + "." + step;
  }
}
