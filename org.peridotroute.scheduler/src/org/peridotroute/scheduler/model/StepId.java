package org.peridotroute.scheduler.model;

/**
 * Identity of one step of one occurrence of a job.
 *
 * @param job job that the step belongs to
 * @param occurrence number of the occurrence, from 0; 0 for a job that runs once
 * @param step number of the step, from 0
 */
public record StepId(JobId job, int occurrence, int step) {
  // Key of maps: the methods that the compiler generates for records are linked at their first
  // call,
  // which takes some milliseconds of a process's start for each record.
  @Override
  public boolean equals(Object object) {
    return object instanceof StepId other
        && step == other.step
        && occurrence == other.occurrence
        && job.equals(other.job);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * job.hashCode() + occurrence) + step;
  }

  @Override
  public String toString() {
    return job + "." + occurrence + "." + step;
  }
}
