package org.peridotroute.scheduler.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.Topic;
import org.peridotroute.scheduler.table.Job;
import org.peridotroute.standin.world.LogModel;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;
import org.peridotroute.standin.world.SimulatedLogClient;
import org.peridotroute.standin.world.VirtualTime;

/**
 * Guards against an append that is larger than the log accepts: it is refused for ever, and so is
 * the planner's confirmation of its term.
 */
final class JournalTest {
  private static Job largeJob(int number) {
    StepSpec step = StepSpec.newBuilder().setCount(2_000).setNeed(new Capacity(1, 1, 1)).build();
    Job job =
        new Job(
            new Submission(
                new JobId("%016x".formatted(number)),
                "org",
                "queue",
                "service",
                new Submission.Terms(1, 3, 1.5, 400),
                0,
                new JobRequest("payload", List.of(step, step, step), Schedule.ONCE)));
    job.openDueOccurrences(0);
    return job;
  }

  @Test
  void storesMoreChangesThanOneAppendHolds() {
    VirtualTime time = new VirtualTime();
    LogModel log = new LogModel();
    Journal journal =
        new Journal(
            new SimulatedLogClient(time, new Random(1), log, () -> LogFault.NONE),
            new Term(0, "vm-0", "life", 0),
            Runnable::run,
            time,
            Events.NONE,
            outcome -> {},
            5_000,
            0);
    int jobs = 120;
    for (int i = 0; i < jobs; i++) {
      journal.markChanged(largeJob(i));
    }
    List<Integer> storedAtAction = new ArrayList<>();
    journal.afterStored(() -> storedAtAction.add(log.newest(Topic.PROGRESS).size()));
    for (int i = 0; i < 100; i++) {
      journal.flush(400);
      time.pass(50);
    }
    // The action runs once, after all jobs that had changed before.
    assertThat(storedAtAction).containsExactly(jobs);
  }
}
