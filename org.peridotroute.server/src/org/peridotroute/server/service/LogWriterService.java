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
import org.peridotroute.server.ring.Duty;
import org.peridotroute.server.ring.DutyRing;

/**
 * Appends proposals to one stream: groups them, keeps to the budget of appends, and repeats an
 * append until the log has answered. The fold drops what was appended twice.
 */
public final class LogWriterService implements RecordSink, Duty<LogWriterService.Proposal> {
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
  private final DutyRing<Proposal> ring;
  private final List<String> batch = new ArrayList<>();
  private int batchChars;
  private long lastAppendMillis;
  private volatile long failingSinceMillis = -1;
  private volatile boolean stopped;
  private final LongAdder appends = new LongAdder();
  private final LongAdder records = new LongAdder();

  /**
   * A record on its way to the log.
   *
   * @param record the record
   * @param outcome completed with the verdict
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
        new DutyRing<>(
            "write-" + stream, builder.slots, TICK_MILLIS, this, builder.onBrokenInvariant);
  }

  /**
   * Starts a description.
   *
   * @param stream the stream
   * @param log the log
   * @param proposals this process's proposals to the stream
   * @return the builder
   */
  public static Builder newBuilder(String stream, LogClient log, PendingProposals proposals) {
    return new Builder(stream, log, proposals);
  }

  /** Starts appending. */
  public void start() {
    ring.start();
  }

  /** Works off what is in the ring while the log answers, then stops. */
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
   * Returns whether the log has taken or given nothing for so long that new work should be refused.
   *
   * @param readSilentMillis how long the log has given nothing
   * @return whether it should
   */
  public boolean isStalled(long readSilentMillis) {
    long since = failingSinceMillis;
    boolean appendsFail = since >= 0 && nowMillis() - since >= stallMillis;
    return appendsFail || readSilentMillis >= stallMillis;
  }

  /** Returns the ring, for the dump. */
  public DutyRing<Proposal> ring() {
    return ring;
  }

  /** Returns the number of appends that the log has answered. */
  public long appends() {
    return appends.sum();
  }

  /** Returns the number of records in those appends. */
  public long records() {
    return records.sum();
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
  public void onStep() {
    flush();
  }

  private void flush() {
    if (batch.isEmpty()) {
      return;
    }
    pause(lastAppendMillis + intervalMillis - nowMillis());
    lastAppendMillis = nowMillis();
    appendUntilTaken(List.copyOf(batch));
    batch.clear();
    batchChars = 0;
  }

  private void appendUntilTaken(List<String> texts) {
    long retryMillis = MIN_RETRY_MILLIS;
    while (true) {
      try {
        log.append(stream, texts).get();
        onTaken(texts.size());
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
      pause(retryMillis);
      retryMillis = Math.min(retryMillis * 2, MAX_RETRY_MILLIS);
    }
  }

  private void onTaken(int count) {
    appends.increment();
    records.add(count);
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

  private static void pause(long millis) {
    if (millis <= 0) {
      return;
    }
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Builder of a {@link LogWriterService}. Not safe for use by several threads. */
  public static final class Builder {
    private final String stream;
    private final LogClient log;
    private final PendingProposals proposals;
    private int slots = 4096;
    private int maxRecords = 200;
    private int appendsPerSecond = 40;
    private long stallMillis = 3_000;
    private Consumer<Throwable> onBrokenInvariant = fault -> {};

    private Builder(String stream, LogClient log, PendingProposals proposals) {
      this.stream = stream;
      this.log = log;
      this.proposals = proposals;
    }

    /** Sets the size of the ring, a power of two. */
    public Builder setSlots(int value) {
      slots = value;
      return this;
    }

    /** Sets the most records of an append. */
    public Builder setMaxRecords(int value) {
      maxRecords = value;
      return this;
    }

    /** Sets the most appends a second. */
    public Builder setAppendsPerSecond(int value) {
      appendsPerSecond = value;
      return this;
    }

    /** Sets the time of failing appends after which the service says that it is stalled. */
    public Builder setStallMillis(long value) {
      stallMillis = value;
      return this;
    }

    /** Sets who is told when the duty throws. */
    public Builder setOnBrokenInvariant(Consumer<Throwable> value) {
      onBrokenInvariant = value;
      return this;
    }

    /** Returns the service, not yet started. */
    public LogWriterService build() {
      return new LogWriterService(this);
    }
  }
}
