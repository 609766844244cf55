package org.peridotroute.server.api;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.peridotroute.control.RecordSink;
import org.peridotroute.errors.NotSentException;
import org.peridotroute.fold.Verdict;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.server.service.LogWriterService;
import org.peridotroute.server.service.ProcessHealth;

/** Proposes callers' changes to the log and waits for the verdict of the fold. Thread-safe. */
public final class Committer {
  private final RecordSink sink;
  private final LogWriterService writer;
  private final ProcessHealth health;
  private final long timeoutMillis;

  /**
   * Creates a committer.
   *
   * @param sink receives the proposed records
   * @param writer log writer behind the sink; detects stalled appends
   * @param health readiness of the process
   * @param timeoutMillis longest time to wait for a verdict
   */
  public Committer(
      RecordSink sink, LogWriterService writer, ProcessHealth health, long timeoutMillis) {
    this.sink = sink;
    this.writer = writer;
    this.health = health;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Checks that the process is ready. Until it has loaded its state, it cannot validate a change.
   *
   * @throws ApiException if it is not ready
   */
  public void requireReady() throws ApiException {
    if (!health.canAct()) {
      throw new ApiException(ErrorCode.NOT_READY, "not ready: " + health.notReadyReasons());
    }
  }

  /**
   * Proposes a change and waits for its verdict.
   *
   * @param record the change
   * @return the verdict of the fold
   * @throws ApiException if the change was certainly not sent, or if its outcome is unknown
   */
  public Verdict commit(LogRecord record) throws ApiException {
    requireReady();
    if (writer.isStalled(health.logReadFailureMillis())) {
      throw new ApiException(
          ErrorCode.LOG_UNAVAILABLE,
          "the log does not accept appends at present; the record was not sent");
    }
    try {
      return sink.propose(record).get(timeoutMillis, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      if (e.getCause() instanceof NotSentException) {
        throw new ApiException(ErrorCode.OVERLOADED, e.getCause().getMessage());
      }
      throw new ApiException(ErrorCode.OUTCOME_UNKNOWN, e.getCause().getMessage());
    } catch (TimeoutException e) {
      throw new ApiException(
          ErrorCode.OUTCOME_UNKNOWN,
          "the record was not read back within "
              + timeoutMillis
              + " ms; its outcome is unknown; repeat the request to learn it");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new ApiException(
          ErrorCode.OUTCOME_UNKNOWN,
          "interrupted before the record was read back; its outcome is unknown");
    }
  }
}
