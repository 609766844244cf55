package org.peridotroute.scheduler.node;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.table.PreparedSubmission;
import org.peridotroute.scheduler.table.RequestCodec;
import org.peridotroute.standin.world.LogModel;
import org.peridotroute.standin.world.SimulatedCluster.LogFault;
import org.peridotroute.standin.world.SimulatedLogClient;
import org.peridotroute.standin.world.VirtualTime;

/**
 * Guards against requests that the log never accepts. They fail the requests stored with them, and
 * their callers send them again to VM after VM.
 */
final class RequestWriterTest {
  /** Takes two bytes a character on the log. */
  private static final String LONGEST_NAME = "\"".repeat(255);

  private static Submission submission(int number, List<StepSpec> steps) {
    return new Submission(
        new JobId("%016x".formatted(number)),
        "org",
        "queue",
        "service",
        new Submission.Terms(1, 3, 1.5, 400),
        0,
        new JobRequest("\u0001".repeat(JobRequest.MAX_PAYLOAD_BYTES), steps, Schedule.ONCE));
  }

  private static StepSpec.Builder step() {
    return StepSpec.newBuilder().setCount(1).setNeed(new Capacity(1, 1, 1));
  }

  /** Returns as many steps as a job may have, each as large as possible. */
  private static List<StepSpec> largestSteps() {
    List<StepSpec> steps = new ArrayList<>();
    for (int i = 0; i < JobRequest.MAX_STEPS; i++) {
      List<Integer> after = i == 0 ? List.of() : Collections.nCopies(JobRequest.MAX_STEPS, i - 1);
      steps.add(
          step()
              .setAfter(after)
              .setRequiredLabel(LONGEST_NAME)
              .setDataRack(LONGEST_NAME)
              .setImage(LONGEST_NAME)
              .build());
    }
    return steps;
  }

  @Test
  void storesABurstOfTheLargestRequests() {
    VirtualTime time = new VirtualTime();
    RequestWriter writer =
        new RequestWriter(
            new SimulatedLogClient(time, new Random(1), new LogModel(), () -> LogFault.NONE),
            Runnable::run,
            time,
            Events.NONE);
    List<StepSpec> steps = largestSteps();
    List<CompletableFuture<RequestOutcome>> results = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      KeyedRecord record =
          RequestCodec.writeSubmission(new PreparedSubmission(submission(i, steps), 0));
      CompletableFuture<RequestOutcome> result = new CompletableFuture<>();
      results.add(result);
      writer.store(record, offset -> RequestOutcome.DONE, 10_000, result);
    }
    for (int i = 0; i < 100; i++) {
      time.pass(20);
      writer.step();
    }
    results.forEach(result -> assertThat(result.getNow(null)).isEqualTo(RequestOutcome.DONE));
  }

  @Test
  void rejectsStepsThatWouldNotFitIntoARecord() {
    assertThrows(
        InvalidValueException.class, () -> step().setRequiredLabel("x".repeat(300_000)).build());
    assertThrows(InvalidValueException.class, () -> step().setImage("\u0001".repeat(255)).build());
    assertThrows(
        InvalidValueException.class,
        () -> step().setAfter(Collections.nCopies(100_000, 0)).build());
  }
}
