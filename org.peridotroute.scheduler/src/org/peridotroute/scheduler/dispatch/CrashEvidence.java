package org.peridotroute.scheduler.dispatch;

import org.peridotroute.scheduler.table.CrashHistory.Circumstances;

/**
 * Circumstances under which a run was lost with its worker.
 *
 * @param ageMillis time from sending the start to the moment at which the worker stopped replying
 * @param otherJobs number of other jobs with runs on the worker
 * @param othersSilent number of workers that stopped replying at about the same time without having
 *     run the job, another suspect task or a task that had just started
 * @param shared whether these are so many that a cause outside of the worker is likely
 */
record CrashEvidence(long ageMillis, int otherJobs, int othersSilent, boolean shared) {
  /** Returns what else may explain the crash. */
  Circumstances circumstances() {
    if (shared) {
      return Circumstances.SHARED_FAILURE;
    }
    return otherJobs > 0 ? Circumstances.IN_COMPANY : Circumstances.ALONE;
  }
}
