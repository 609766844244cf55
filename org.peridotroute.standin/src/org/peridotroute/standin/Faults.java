package org.peridotroute.standin;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * Faults to inject into or to clear from the stand-in platform. Null fields change nothing.
 *
 * @param logDown whether the log rejects all appends and reads
 * @param logDelayMillis delay added to each append
 * @param loseAppendAnswers how many of the next appends take effect but report a failure
 * @param retainRecords how many of the newest records of each stream to keep; the older ones are
 *     dropped when the fault is applied
 * @param listLagMillis age of the directory that callers are given
 * @param failingWorker name of a worker on which every task fails
 * @param silentWorker name of a worker that answers every command with an error
 * @param pausedWorker name of a worker that executes commands only once it is healed
 * @param answerlessWorker name of a worker that executes commands and loses the answers
 * @param silentCalls how many of the next calls to workers are executed and then time out without
 *     an answer, as on a connection that is dead while new ones work
 * @param leavingWorker name of a worker that announces that it is leaving
 * @param healedWorker name of a worker whose faults are cleared
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Faults(
    Boolean logDown,
    Long logDelayMillis,
    Integer loseAppendAnswers,
    Integer retainRecords,
    Long listLagMillis,
    String failingWorker,
    String silentWorker,
    String pausedWorker,
    String answerlessWorker,
    Integer silentCalls,
    String leavingWorker,
    String healedWorker) {
  /**
   * Returns faults that affect only the log.
   *
   * @param down whether the log rejects all appends and reads; null for no change
   * @param loseAnswers how many of the next appends take effect but report a failure; null for no
   *     change
   * @return the faults
   */
  public static Faults ofLog(Boolean down, Integer loseAnswers) {
    return new Faults(
        down, null, loseAnswers, null, null, null, null, null, null, null, null, null);
  }

  /**
   * Returns the fault of dead connections to workers.
   *
   * @param calls how many of the next calls to workers time out without an answer
   * @return the fault
   */
  public static Faults ofSilentCalls(int calls) {
    return new Faults(null, null, null, null, null, null, null, null, null, calls, null, null);
  }
}
