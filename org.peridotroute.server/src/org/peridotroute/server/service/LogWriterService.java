package org.peridotroute.server.service;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.peridotroute.control.PendingProposals;
import org.peridotroute.control.RecordSink;
import org.peridotroute.errors.NotSentException;
import org.peridotroute.fold.Verdict;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.journal.RecordCodec;
import org.peridotroute.platform.LogClient;
import org.peridotroute.server.ring.EventRing;
import org.peridotroute.server.ring.RingConsumer;

/**
 * Appends proposed records to one stream on its own thread. Batches records, limits the rate of
 * appends, and retries an append until the log has confirmed it. Readers ignore records that were
 * appended twice.
 */
public final class LogWriterService implements RecordSink, RingConsumer<LogWriterService.Proposal> {
  private static final System.Logger LOGGER = System.getLogger(LogWriterService.class.getName());
  private static final long TICK_MILLIS = 1_000;
  private static final long MIN_RETRY_MILLIS = 50;
  private static final long MAX_RETRY_MILLIS = 1_000;
  private static final int MAX_BATCH_CHARS = 512 * 1024;

  private final String stream;
  private final LogClient log;
  private final PendingProposals proposals;
  private final int maxRecords;
  private final long intervalMillis;
  private final long stallMillis;
  private final EventRing<Proposal> ring;
  private final List<String> batch = new ArrayList<>();
  private int batchChars;
  private long lastAppendMillis;
  private volatile long failingSinceMillis = -1;
  private volatile boolean stopped;
  private final LongAdder appendCount = new LongAdder();
  private final LongAdder recordCount = new LongAdder();

  /**
   * A record that waits to be appended.
   *
   * @param record the record
   * @param outcome completed with the verdict when the record is read back
   */
  public record Proposal(LogRecord record, CompletableFuture<Verdict> outcome) {}

  private LogWriterService(Builder builder) {
    stream = builder.stream;
    log = builder.log;
    proposals = builder.proposals;
    maxRecords = builder.maxRecords;
    intervalMillis = TimeUnit.SECONDS.toMillis(1) / builder.appendsPerSecond;
    stallMillis = builder.stallMillis;
    ring =
        new EventRing<>(
            "write-" + stream, builder.ringSlots, TICK_MILLIS, this, builder.onBrokenInvariant);
  }

  /**
   * Creates a builder.
   *
   * @param stream the stream
   * @param log the log
   * @param proposals pending proposals of this process to the stream
   * @return the builder
   */
  public static Builder newBuilder(String stream, LogClient log, PendingProposals proposals) {
    return new Builder(stream, log, proposals);
  }

  /** Starts appending. */
  public void start() {
    ring.start();
  }

  /** Appends the records left in the ring if the log is available, then stops. */
  public void stop() {
    stopped = true;
    ring.stop();
  }

  @Override
  public CompletableFuture<Verdict> propose(LogRecord record) {
    CompletableFuture<Verdict> outcome = new CompletableFuture<>();
    if (stopped) {
      outcome.completeExceptionally(NotSentException.stopping(ring.name()));
    } else if (!ring.offer(new Proposal(record, outcome))) {
      outcome.completeExceptionally(NotSentException.ringFull(ring.name()));
    }
    return outcome;
  }

  /**
   * Returns whether appends or reads have failed for so long that new requests must be refused.
   *
   * @param readFailureMillis time for which reads have failed, 0 while they succeed
   * @return whether either time has reached the limit
   */
  public boolean isStalled(long readFailureMillis) {
    long sinceMillis = failingSinceMillis;
    boolean appendsFail = sinceMillis >= 0 && nowMillis() - sinceMillis >= stallMillis;
    return appendsFail || readFailureMillis >= stallMillis;
  }

  /** Returns the ring, for the dump. */
  public EventRing<Proposal> ring() {
    return ring;
  }

  /** Returns the number of appends that the log has confirmed. */
  public long appends() {
    return appendCount.sum();
  }

  /** Returns the number of records in confirmed appends. */
  public long records() {
    return recordCount.sum();
  }

  @Override
  public void onEvent(Proposal proposal) {
    String text =
        RecordCodec.encode(
            proposals.register(proposal.record(), System.currentTimeMillis(), proposal.outcome()));
    if (batchChars + text.length() > MAX_BATCH_CHARS) {
      flush();
    }
    batch.add(text);
    batchChars += text.length();
    if (batch.size() >= maxRecords) {
      flush();
    }
  }

  @Override
  public void onBatchEnd() {
    flush();
  }

  private void flush() {
    if (batch.isEmpty()) {
      return;
    }
    sleep(lastAppendMillis + intervalMillis - nowMillis());
    lastAppendMillis = nowMillis();
    appendWithRetry(List.copyOf(batch));
    batch.clear();
    batchChars = 0;
  }

  private void appendWithRetry(List<String> texts) {
    long retryMillis = MIN_RETRY_MILLIS;
    while (true) {
      try {
        log.append(stream, texts).get();
        onAppended(texts.size());
        return;
      } catch (ExecutionException | CompletionException e) {
        onFailure(e.getCause());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      if (stopped) {
        return;
      }
      sleep(retryMillis);
      retryMillis = Math.min(retryMillis * 2, MAX_RETRY_MILLIS);
    }
  }

  private void onAppended(int count) {
    appendCount.increment();
    recordCount.add(count);
    if (failingSinceMillis >= 0) {
      failingSinceMillis = -1;
      Event.of("log-append-recovered").with("stream", stream).log(LOGGER, System.Logger.Level.INFO);
    }
  }

  private void onFailure(Throwable failure) {
    if (failingSinceMillis >= 0) {
      return;
    }
    failingSinceMillis = nowMillis();
    Event.of("log-append-failed")
        .with("stream", stream)
        .with("reason", failure.getMessage())
        .log(LOGGER, System.Logger.Level.WARNING);
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static void sleep(long millis) {
    if (millis <= 0) {
      return;
    }
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Builds a {@link LogWriterService}. Not thread-safe. */
  public static final class Builder {
    private final String stream;
    private final LogClient log;
    private final PendingProposals proposals;
    private int ringSlots = 4096;
    private int maxRecords = 200;
    private int appendsPerSecond = 40;
    private long stallMillis = 3_000;
    private Consumer<Throwable> onBrokenInvariant = exception -> {};

    private Builder(String stream, LogClient log, PendingProposals proposals) {
      this.stream = stream;
      this.log = log;
      this.proposals = proposals;
    }

    /** Sets the size of the ring, a power of two. */
    public Builder setRingSlots(int value) {
      ringSlots = value;
      return this;
    }

    /** Sets the maximum number of records per append. */
    public Builder setMaxRecords(int value) {
      maxRecords = value;
      return this;
    }

    /** Sets the maximum number of appends per second. */
    public Builder setAppendsPerSecond(int value) {
      appendsPerSecond = value;
      return this;
    }

    /** Sets how long appends or reads must fail before the service counts as stalled. */
    public Builder setStallMillis(long value) {
      stallMillis = value;
      return this;
    }

    /** Sets the handler called with the exception when the service's thread fails. */
    public Builder setOnBrokenInvariant(Consumer<Throwable> value) {
      onBrokenInvariant = value;
      return this;
    }

    /** Returns a new service, not started. */
    public LogWriterService build() {
      return new LogWriterService(this);
    }
  }
}
