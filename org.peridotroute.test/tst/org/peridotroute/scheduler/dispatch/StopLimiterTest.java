package org.peridotroute.scheduler.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.peridotroute.lib.HostPort;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.plan.PlanView;

/**
 * Pattern: a new planner takes over a full fleet with a backlog. Guards against stops that it
 * orders before it knows what the workers run, and against freeing more than it can fill.
 */
final class StopLimiterTest {
  private static final long TERM_START = 50_000;
  private static final DispatchSettings SETTINGS =
      new DispatchSettings(10_000, 1_500, 800, 400, 10_000, 2_900, 400, 3, 1_500, 875_000);

  private final StopLimiter limiter = new StopLimiter(SETTINGS, TERM_START);

  private static WorkerState worker(int number) {
    WorkerState worker = new WorkerState(new WorkerId("w-" + number), 0);
    worker.markListed(
        new WorkerInfo(
            worker.id(),
            "s",
            HostPort.parse("10.0.0." + number + ":1"),
            "dc",
            "rack",
            List.of(),
            new Capacity(64_000, 128_000, 8),
            false,
            0,
            0,
            0),
        TERM_START);
    return worker;
  }

  private PlanView.StopLimits limits(List<WorkerState> workers, long termMillis) {
    return limiter.limits(workers, List.of(), Map.of(), TERM_START + termMillis);
  }

  @Test
  void nothingIsStoppedInTheFirstSecondUntilAllWorkersArePolled() {
    WorkerState first = worker(1);
    WorkerState second = worker(2);
    List<WorkerState> workers = List.of(first, second);
    assertThat(limits(workers, 10).permitted()).isFalse();
    first.markTokenSeen(1, TERM_START);
    assertThat(limits(workers, 999).permitted()).isFalse();
    assertThat(limits(workers, 1_000).permitted()).isTrue();
    second.markTokenSeen(1, TERM_START);
    assertThat(limits(workers, 10).permitted()).isTrue();
  }

  // A worker that is down would otherwise keep urgent work waiting for the whole second.
  @Test
  void workerThatDoesNotReplyCountsAsPolled() {
    WorkerState silent = worker(1);
    silent.onNoReply();
    assertThat(limits(List.of(silent), 10).permitted()).isTrue();
  }

  @Test
  void claimedTasksAreLimitedToTheStartsThatTheLinkCarriesDuringAStop() {
    long bytesDuringStop = 875_000 * 400 / 1_000;
    assertThat(limits(List.of(), 2_000).maxClaimedTasks())
        .isEqualTo(bytesDuringStop / StartQueue.OVERHEAD_BYTES);
  }
}
