package org.peridotroute.standin;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * Faults that the stand-in platform is told to have. Absent fields leave things as they are.
 *
 * @param logDown whether the log takes and gives nothing
 * @param logDelayMillis how long each append takes
 * @param loseAppendAnswers how many appends take effect without an answer
 * @param retainRecords how many records each stream keeps, applied once
 * @param listLagMillis how far the list of machines lags
 * @param failingWorker name of a worker on which every task fails
 * @param silentWorker name of a worker that answers nothing
 * @param pausedWorker name of a worker that carries commands out only once it is healed
 * @param answerlessWorker name of a worker that carries commands out and loses the answers
 * @param silentCalls how many of the next calls to workers are carried out and then get no answer
 *     at all, as on a connection that has gone silent while new ones work
 * @param leavingWorker name of a worker that leaves
 * @param healedWorker name of a worker that is well again
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
   * Returns faults of the log alone.
   *
   * @param down whether it takes and gives nothing; null leaves things as they are
   * @param loseAnswers how many appends take effect without an answer; null for none
   * @return the faults
   */
  public static Faults ofLog(Boolean down, Integer loseAnswers) {
    return new Faults(
        down, null, loseAnswers, null, null, null, null, null, null, null, null, null);
  }

  /**
   * Returns the fault of connections that go silent.
   *
   * @param calls how many of the next calls to workers get no answer
   * @return the fault
   */
  public static Faults ofSilentCalls(int calls) {
    return new Faults(null, null, null, null, null, null, null, null, null, calls, null, null);
  }
}
