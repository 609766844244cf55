package org.peridotroute.scheduler.table;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.peridotroute.json.JsonText;
import org.peridotroute.json.JsonValue;
import org.peridotroute.lib.Checks;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Schedule;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;

/**
 * JSON form of submissions. Fields are named as in the records of the model; those that are 0,
 * false, null or empty are left out. Stateless.
 */
final class SubmissionJson {
  private SubmissionJson() {}

  static void write(JsonText text, Submission submission) throws IOException {
    text.object("id", id -> id.text("value", submission.id().value()))
        .optional("organisation", submission.organisation())
        .optional("queue", submission.queue())
        .optional("service", submission.service())
        .object("terms", terms -> write(terms, submission.terms()))
        .optional("acceptedAtMillis", submission.acceptedAtMillis())
        .object("request", request -> write(request, submission.request()));
  }

  private static void write(JsonText text, Submission.Terms terms) throws IOException {
    text.optional("priority", terms.priority())
        .optional("maxAttempts", terms.maxAttempts())
        .optional("stretch", terms.stretch())
        .optional("objectiveMillis", terms.objectiveMillis())
        .optionalTexts("allowedRegions", terms.allowedRegions());
  }

  private static void write(JsonText text, JobRequest request) throws IOException {
    List<JsonText.Fields> steps = new ArrayList<>();
    request.steps().forEach(step -> steps.add(fields -> write(fields, step)));
    text.optional("payload", request.payload())
        .objects("steps", steps)
        .object("schedule", schedule -> write(schedule, request.schedule()));
  }

  private static void write(JsonText text, Schedule schedule) throws IOException {
    text.optional("firstDueMillis", schedule.firstDueMillis())
        .optional("intervalMillis", schedule.intervalMillis())
        .optional("repeats", schedule.repeats());
  }

  private static void write(JsonText text, StepSpec step) throws IOException {
    text.optional("count", step.count())
        .object("need", need -> write(need, step.need()))
        .optional("estimateMillis", step.estimateMillis())
        .optionalNumbers("after", step.after())
        .optional("checkpoints", step.checkpoints())
        .optional("gang", step.gang())
        .optional("sameRack", step.sameRack())
        .optional("requiredLabel", step.requiredLabel())
        .optional("dataRack", step.dataRack())
        .optional("maxPerWorker", step.maxPerWorker())
        .optional("speculative", step.speculative())
        .optional("service", step.service())
        .optional("image", step.image())
        .optional("targetMillis", step.targetMillis())
        .optional("background", step.background())
        .optional("maxUnavailable", step.maxUnavailable());
  }

  private static void write(JsonText text, Capacity capacity) throws IOException {
    text.optional("milliCores", capacity.milliCores())
        .optional("memoryMb", capacity.memoryMb())
        .optional("accelerators", capacity.accelerators());
  }

  /**
   * Reads a submission.
   *
   * @throws IllegalArgumentException if a field has an invalid value
   */
  static Submission read(JsonValue submission) {
    JsonValue terms = submission.get("terms");
    return new Submission(
        new JobId(submission.get("id").get("value").text(null)),
        submission.get("organisation").text(""),
        submission.get("queue").text(null),
        submission.get("service").text(null),
        new Submission.Terms(
            count(terms, "priority"),
            count(terms, "maxAttempts"),
            terms.get("stretch").decimal(0),
            terms.get("objectiveMillis").number(0),
            texts(terms.get("allowedRegions"))),
        submission.get("acceptedAtMillis").number(0),
        readRequest(submission.get("request")));
  }

  private static JobRequest readRequest(JsonValue request) {
    List<StepSpec> steps = new ArrayList<>();
    request.get("steps").forEach(step -> steps.add(readStep(step)));
    JsonValue schedule = request.get("schedule");
    return new JobRequest(
        request.get("payload").text(""),
        steps,
        new Schedule(
            schedule.get("firstDueMillis").number(0),
            schedule.get("intervalMillis").number(0),
            count(schedule, "repeats")));
  }

  private static StepSpec readStep(JsonValue step) {
    List<Integer> after = new ArrayList<>();
    step.get("after").forEach(earlier -> after.add((int) earlier.number(-1)));
    JsonValue need = step.get("need");
    return new StepSpec(
        count(step, "count"),
        need.isPresent()
            ? new Capacity(
                need.get("milliCores").number(0),
                need.get("memoryMb").number(0),
                need.get("accelerators").number(0))
            : null,
        step.get("estimateMillis").number(0),
        after,
        step.get("checkpoints").flag(),
        step.get("gang").flag(),
        step.get("sameRack").flag(),
        step.get("requiredLabel").text(null),
        step.get("dataRack").text(null),
        count(step, "maxPerWorker"),
        step.get("speculative").flag(),
        step.get("service").flag(),
        step.get("image").text(null),
        step.get("targetMillis").number(0),
        step.get("background").flag(),
        count(step, "maxUnavailable"));
  }

  private static int count(JsonValue object, String field) {
    long value = object.get(field).number(0);
    return (int) Checks.range(field, value, Integer.MIN_VALUE, Integer.MAX_VALUE);
  }

  private static List<String> texts(JsonValue list) {
    List<String> texts = new ArrayList<>();
    list.forEach(item -> texts.add(item.text("")));
    return texts;
  }
}
