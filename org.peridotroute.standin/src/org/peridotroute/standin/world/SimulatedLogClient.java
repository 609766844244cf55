package org.peridotroute.standin.world;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Topic;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;

/**
 * Client of the simulated log for one VM, with latency and the faults injected for that VM. Used by
 * one thread.
 */
public final class SimulatedLogClient implements KeyedLog {
  private static final long LATENCY_MILLIS = 4;
  private static final long TIMEOUT_MILLIS = 1_500;
  private static final int JITTER_MILLIS = 6;
  private static final long POLL_MILLIS = 10;

  private final VirtualTime time;
  private final Random random;
  private final LogModel log;
  private final Supplier<LogFault> fault;
  private final LongSupplier appendDelayMillis;

  /** Creates the connection of one VM whose appends are never delayed. */
  public SimulatedLogClient(
      VirtualTime time, Random random, LogModel log, Supplier<LogFault> fault) {
    this(time, random, log, fault, () -> 0);
  }

  /**
   * Creates the connection of one VM.
   *
   * @param log the log
   * @param fault fault of the log as this VM sees it
   * @param appendDelayMillis time after which a delayed append takes effect
   */
  public SimulatedLogClient(
      VirtualTime time,
      Random random,
      LogModel log,
      Supplier<LogFault> fault,
      LongSupplier appendDelayMillis) {
    this.time = time;
    this.random = random;
    this.log = log;
    this.fault = fault;
    this.appendDelayMillis = appendDelayMillis;
  }

  private <T> CompletableFuture<T> call(
      Supplier<T> operation, boolean append, T refused, T unknown) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    time.after(
        LATENCY_MILLIS + random.nextInt(JITTER_MILLIS),
        () -> {
          switch (fault.get()) {
            case NONE -> answer.complete(operation.get());
            case REFUSES -> answer.complete(refused);
            case LOSES_ANSWERS -> {
              var unused = operation.get();
              time.after(TIMEOUT_MILLIS, () -> answer.complete(unknown));
            }
            case DELAYS_APPENDS -> {
              if (append) {
                time.after(
                    appendDelayMillis.getAsLong(),
                    () -> {
                      var unused = operation.get();
                    });
                time.after(TIMEOUT_MILLIS, () -> answer.complete(unknown));
              } else {
                answer.complete(operation.get());
              }
            }
            default -> time.after(TIMEOUT_MILLIS, () -> answer.complete(unknown));
          }
        });
    return answer;
  }

  @Override
  public CompletableFuture<AppendReply> append(
      Topic topic, List<KeyedRecord> records, long expectedEnd, Fence fence) {
    return call(
        () -> log.append(topic, records, expectedEnd, fence),
        true,
        new AppendReply(AppendOutcome.REFUSED, -1, -1),
        new AppendReply(AppendOutcome.UNKNOWN, -1, -1));
  }

  @Override
  public CompletableFuture<ReadReply> read(Topic topic, long fromOffset, long waitMillis) {
    ReadReply unavailable = new ReadReply(ReadOutcome.UNAVAILABLE, -1, List.of());
    CompletableFuture<ReadReply> answer = new CompletableFuture<>();
    poll(topic, fromOffset, time.steadyMillis() + waitMillis, answer, unavailable);
    return answer;
  }

  private void poll(
      Topic topic,
      long fromOffset,
      long untilMillis,
      CompletableFuture<ReadReply> answer,
      ReadReply unavailable) {
    if (fault.get() != LogFault.NONE && fault.get() != LogFault.DELAYS_APPENDS) {
      long delayMillis = fault.get() == LogFault.REFUSES ? LATENCY_MILLIS : TIMEOUT_MILLIS;
      time.after(delayMillis, () -> answer.complete(unavailable));
      return;
    }
    if (fromOffset < log.firstOffset(topic)) {
      answer.complete(new ReadReply(ReadOutcome.EXPIRED, log.endOffset(topic), List.of()));
      return;
    }
    if (log.endOffset(topic) > fromOffset || time.steadyMillis() >= untilMillis) {
      ReadReply reply =
          new ReadReply(ReadOutcome.READ, log.endOffset(topic), log.readFrom(topic, fromOffset));
      time.after(LATENCY_MILLIS, () -> answer.complete(reply));
      return;
    }
    time.after(POLL_MILLIS, () -> poll(topic, fromOffset, untilMillis, answer, unavailable));
  }

  @Override
  public CompletableFuture<NewestPage> newest(Topic topic, String afterKey) {
    NewestPage unavailable = new NewestPage(false, -1, List.of(), false);
    return call(
        () -> new NewestPage(true, log.endOffset(topic), log.newest(topic), false),
        false,
        unavailable,
        unavailable);
  }
}
