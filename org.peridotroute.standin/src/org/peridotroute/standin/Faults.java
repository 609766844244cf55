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
    String leavingWorker,
    String healedWorker) {}
