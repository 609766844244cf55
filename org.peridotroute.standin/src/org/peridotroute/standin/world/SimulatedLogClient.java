package org.peridotroute.standin.world;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Topic;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;

/** The log as one VM reaches it, with the faults set for that VM. Used by one thread. */
final class SimulatedLogClient implements KeyedLog {
  private static final long LOG_MILLIS = 4;
  private static final long LOG_TIMEOUT_MILLIS = 1_500;
  private static final int JITTER_MILLIS = 6;
  private static final long POLL_MILLIS = 10;

  private final VirtualTime time;
  private final Random random;
  private final LogModel log;
  private final Supplier<LogFault> fault;

  SimulatedLogClient(VirtualTime time, Random random, LogModel log, Supplier<LogFault> fault) {
    this.time = time;
    this.random = random;
    this.log = log;
    this.fault = fault;
  }

  private <T> CompletableFuture<T> call(Supplier<T> work, T refused, T silent) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    time.after(
        LOG_MILLIS + random.nextInt(JITTER_MILLIS),
        () -> {
          switch (fault.get()) {
            case NONE -> answer.complete(work.get());
            case REFUSES -> answer.complete(refused);
            case LOSES_ANSWERS -> {
              var unused = work.get();
              time.after(LOG_TIMEOUT_MILLIS, () -> answer.complete(silent));
            }
            default -> time.after(LOG_TIMEOUT_MILLIS, () -> answer.complete(silent));
          }
        });
    return answer;
  }

  @Override
  public CompletableFuture<AppendReply> append(
      Topic topic, List<KeyedRecord> records, long expectedEnd, Fence fence) {
    return call(
        () -> log.append(topic, records, expectedEnd, fence),
        new AppendReply(AppendOutcome.REFUSED, -1, -1),
        new AppendReply(AppendOutcome.UNKNOWN, -1, -1));
  }

  @Override
  public CompletableFuture<Slice> read(Topic topic, long fromOffset, long waitMillis) {
    Slice none = new Slice(ReadOutcome.UNAVAILABLE, -1, List.of());
    CompletableFuture<Slice> answer = new CompletableFuture<>();
    poll(topic, fromOffset, time.steadyMillis() + waitMillis, answer, none);
    return answer;
  }

  private void poll(
      Topic topic, long from, long untilMillis, CompletableFuture<Slice> answer, Slice none) {
    if (fault.get() != LogFault.NONE) {
      long wait = fault.get() == LogFault.REFUSES ? LOG_MILLIS : LOG_TIMEOUT_MILLIS;
      time.after(wait, () -> answer.complete(none));
      return;
    }
    if (from < log.first(topic)) {
      answer.complete(new Slice(ReadOutcome.EXPIRED, log.end(topic), List.of()));
      return;
    }
    if (log.end(topic) > from || time.steadyMillis() >= untilMillis) {
      Slice slice = new Slice(ReadOutcome.READ, log.end(topic), log.from(topic, from));
      time.after(LOG_MILLIS, () -> answer.complete(slice));
      return;
    }
    time.after(POLL_MILLIS, () -> poll(topic, from, untilMillis, answer, none));
  }

  @Override
  public CompletableFuture<NewestPage> newest(Topic topic, String afterKey) {
    NewestPage none = new NewestPage(false, -1, List.of(), false);
    return call(() -> new NewestPage(true, log.end(topic), log.newest(topic), false), none, none);
  }
}
