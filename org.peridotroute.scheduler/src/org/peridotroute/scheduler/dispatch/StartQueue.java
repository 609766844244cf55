package org.peridotroute.scheduler.dispatch;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Starts that wait for room on the link of this VM. Sent all at once, the starts of a wide step
 * would fill the link for longer than the timeout of a call: they would seem lost, and renewals of
 * leases and appends to the log would wait behind them. Urgent starts go first. Confined to the
 * control thread.
 */
final class StartQueue {
  /** Estimated bytes of a start in addition to its payload: headers, other fields and framing. */
  static final long OVERHEAD_BYTES = 600;

  /**
   * A start that waits.
   *
   * @param worker the worker that is to run the task
   * @param attempt the run
   * @param parameters payload and checkpoint
   * @param number position among the starts of the same priority
   */
  record Waiting(WorkerState worker, Attempt attempt, StartParameters parameters, long number) {
    long bytes() {
      return OVERHEAD_BYTES + parameters.payload().length() + parameters.checkpoint().length();
    }
  }

  private final long maxBytesInFlight;
  private final PriorityQueue<Waiting> waiting =
      new PriorityQueue<>(
          Comparator.comparingInt((Waiting start) -> start.parameters().priority())
              .thenComparingLong(Waiting::number));
  private long lastNumber;
  private long bytesInFlight;

  /**
   * Creates a queue.
   *
   * @param maxBytesInFlight bytes of starts that may be under way at once
   */
  StartQueue(long maxBytesInFlight) {
    this.maxBytesInFlight = maxBytesInFlight;
  }

  void add(WorkerState worker, Attempt attempt, StartParameters parameters) {
    waiting.add(new Waiting(worker, attempt, parameters, ++lastNumber));
  }

  /** Returns the next start that may be sent now and removes it, or returns null. */
  Waiting poll() {
    Waiting next = waiting.peek();
    boolean fits =
        next != null && (bytesInFlight == 0 || bytesInFlight + next.bytes() <= maxBytesInFlight);
    return fits ? waiting.poll() : null;
  }

  /** Counts a start as under way. */
  void onSent(Waiting start) {
    bytesInFlight += start.bytes();
  }

  /** Counts a start as no longer under way, because it was answered or timed out. */
  void onReturned(Waiting start) {
    bytesInFlight -= start.bytes();
  }
}
