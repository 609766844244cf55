package org.peridotroute.scheduler;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.dispatch.DispatchSettings;
import org.peridotroute.scheduler.dispatch.Dispatcher;
import org.peridotroute.scheduler.dispatch.Inheritance;
import org.peridotroute.scheduler.dispatch.Term;
import org.peridotroute.scheduler.load.LoadSummary;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.Topic;
import org.peridotroute.scheduler.table.Job;

/**
 * Pattern: a burst of changes on a slow processor. If passes follow each other as fast as they can,
 * the replies of workers and of the log wait behind them on the same thread.
 */
final class PassIntervalTest {
  private static final long PASS_MILLIS = 20;
  private static final long DAY_MILLIS = 5_000;
  private static final DispatchSettings SETTINGS =
      new DispatchSettings(10_000, 1_500, 800, 400, 10_000, 3_400, 900, 3, 1_500, 250_000);

  private long nowMillis;
  private int passes;

  private final Time time =
      new Time() {
        @Override
        public long steadyMillis() {
          return nowMillis;
        }

        @Override
        public long wallMillis() {
          return nowMillis;
        }
      };

  /** A log that confirms every append at once. */
  private static final class PromptLog implements KeyedLog {
    private long endOffset;

    @Override
    public CompletableFuture<AppendReply> append(
        Topic topic, List<KeyedRecord> records, long expectedEndOffset, Fence fence) {
      long first = endOffset;
      endOffset += records.size();
      return CompletableFuture.completedFuture(
          new AppendReply(AppendOutcome.APPENDED, first, endOffset));
    }

    @Override
    public CompletableFuture<ReadReply> read(Topic topic, long fromOffset, long waitMillis) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<NewestPage> newest(Topic topic, String afterKey) {
      throw new UnsupportedOperationException();
    }
  }

  private static Job pendingJob() {
    StepSpec step =
        StepSpec.newBuilder().setNeed(new Capacity(1, 1, 1)).setEstimateMillis(100).build();
    return new Job(
        new Submission(
            new JobId("%016x".formatted(1)),
            "org",
            "queue",
            "service",
            new Submission.Terms(0, 1, 1, 100),
            0,
            new JobRequest("payload", List.of(step), Schedule.ONCE)));
  }

  private static final class IgnoringListener implements Dispatcher.Listener {
    @Override
    public void onPhaseStored(JobId id, JobPhase phase) {}

    @Override
    public void onLoadMeasured(LoadSummary summary) {}

    @Override
    public void onSuperseded(String evidence) {}
  }

  @Test
  void leavesMostOfTheTimeToOtherWork() {
    Dispatcher dispatcher =
        new Dispatcher(
            new Term(1, "vm", "run-1", 1),
            SETTINGS,
            new Dispatcher.Ports(
                new PromptLog(),
                null,
                Runnable::run,
                time,
                Events.NONE,
                view -> {
                  passes++;
                  nowMillis += PASS_MILLIS;
                  return List.of();
                }),
            Inheritance.none(0),
            new IgnoringListener());
    Configuration configuration = new Configuration(1, List.of(), List.of(), List.of());
    dispatcher.add(pendingJob());
    while (nowMillis < DAY_MILLIS) {
      nowMillis++;
      dispatcher.configure(configuration);
      dispatcher.tick();
    }
    assertThat(passes).isAtLeast(20);
    // The first pass, then one for each interval of four times its duration.
    assertThat(passes * PASS_MILLIS).isAtMost(PASS_MILLIS + DAY_MILLIS / 4);
  }
}
