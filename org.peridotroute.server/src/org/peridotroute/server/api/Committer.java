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

/** Proposes changes for callers and waits for the verdict. Safe for use by several threads. */
public final class Committer {
  private final RecordSink sink;
  private final LogWriterService writer;
  private final ProcessHealth health;
  private final long timeoutMillis;

  /**
   * Creates a committer.
   *
   * @param sink where records are proposed
   * @param writer the writer behind the sink, which knows whether the log answers
   * @param health says whether the process may act
   * @param timeoutMillis the longest wait for a verdict
   */
  public Committer(
      RecordSink sink, LogWriterService writer, ProcessHealth health, long timeoutMillis) {
    this.sink = sink;
    this.writer = writer;
    this.health = health;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Checks that the process has its state, without which nothing can be said about a change.
   *
   * @throws ApiException if it has not
   */
  public void requireReady() throws ApiException {
    if (!health.canAct()) {
      throw new ApiException(ErrorCode.NOT_READY, "not ready: " + health.notReadyReasons());
    }
  }

  /**
   * Proposes a change.
   *
   * @param record the change
   * @return the verdict of the fold
   * @throws ApiException if the change was certainly not sent, or if its outcome is unknown
   */
  public Verdict commit(LogRecord record) throws ApiException {
    requireReady();
    if (writer.isStalled(health.logReadFailureMillis())) {
      throw new ApiException(
          ErrorCode.LOG_UNAVAILABLE, "the log takes nothing at present; nothing was sent");
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
          "sent to the log but not read back within " + timeoutMillis + " ms; repeat to find out");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new ApiException(ErrorCode.OUTCOME_UNKNOWN, "interrupted while waiting for the log");
    }
  }
}
