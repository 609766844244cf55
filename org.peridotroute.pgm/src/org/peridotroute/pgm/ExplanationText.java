package org.peridotroute.pgm;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.peridotroute.scheduler.plan.PlacementExplanation.Outcome;
import org.peridotroute.server.edge.ExplanationView;
import org.peridotroute.server.edge.ExplanationView.RackView;
import org.peridotroute.server.edge.ExplanationView.StepView;

/** Formats an explanation as plain text. */
final class ExplanationText {
  private ExplanationText() {}

  static String format(ExplanationView explanation) {
    List<String> lines = new ArrayList<>();
    lines.add(
        "job %s  queue %s  organisation %s  %s"
            .formatted(
                explanation.job(),
                explanation.queue(),
                explanation.organisation().isEmpty() ? "(none)" : explanation.organisation(),
                explanation.phase()));
    lines.add(
        "planner %s  epoch %d  configuration %d  view age %d ms"
            .formatted(
                explanation.vm(),
                explanation.epoch(),
                explanation.configurationVersion(),
                explanation.viewAgeMillis()));
    if (!explanation.closedDataCentres().isEmpty()) {
      lines.add("closed for new work: " + String.join(", ", explanation.closedDataCentres()));
    }
    explanation
        .unavailableByRack()
        .forEach(
            (rack, count) ->
                lines.add("rack %s: %d workers accept no new work".formatted(rack, count)));
    if (explanation.startsWithheld()) {
      lines.add("starts are withheld: the log or the list of workers is out of date");
    }
    if (explanation.steps().isEmpty()) {
      lines.add("no step waits to be placed");
    }
    explanation.steps().forEach(step -> addStep(lines, step));
    if (explanation.stepsLeftOut() > 0) {
      lines.add("");
      lines.add("%d more steps wait".formatted(explanation.stepsLeftOut()));
    }
    return lines.stream().map(line -> line + System.lineSeparator()).collect(Collectors.joining());
  }

  private static void addStep(List<String> lines, StepView step) {
    lines.add("");
    lines.add(
        "step %s: %s, %d %s"
            .formatted(
                step.step(),
                describe(step),
                step.tasks(),
                step.gang() ? "tasks that start together" : "tasks"));
    lines.add(
        "  place %d of %d; priority %d, %s, usefulness %s, waited %d ms"
            .formatted(
                step.position() + 1,
                step.pendingSteps(),
                step.priority(),
                step.guaranteed() ? "guaranteed" : "not guaranteed",
                step.usefulness(),
                step.waitedMillis()));
    if (!step.nearestBefore().isEmpty()) {
      lines.add("  after " + String.join(", ", step.nearestBefore()));
    }
    if (step.waitsForUrgentReserve()) {
      lines.add("  the capacity is kept for urgent work");
    }
    if (step.waitsForIsolation()) {
      lines.add("  tasks under which workers crashed wait for workers without other jobs");
    }
    countByWorker(step.starts())
        .forEach((worker, count) -> lines.add("  starts %d on %s".formatted(count, worker)));
    step.stops()
        .forEach(
            stop ->
                lines.add(
                    "  stops run %d of %s on %s%s"
                        .formatted(
                            stop.run(),
                            stop.task(),
                            stop.worker(),
                            stop.wholeGang() ? " with its gang" : "")));
    step.claims()
        .forEach((worker, count) -> lines.add("  claims %d on %s".formatted(count, worker)));
    if (!step.outcome().equals(Outcome.STARTS.name())) {
      lines.add("  expected wait for all tasks: " + describeWait(step.expectedWaitMillis()));
      step.racks().forEach(rack -> lines.add(describe(rack)));
    }
  }

  private static Map<String, Integer> countByWorker(Map<Integer, String> starts) {
    Map<String, Integer> counts = new TreeMap<>();
    starts.values().forEach(worker -> counts.merge(worker, 1, Integer::sum));
    return counts;
  }

  private static String describe(StepView step) {
    return switch (Outcome.valueOf(step.outcome())) {
      case STARTS -> "would start now";
      case STARTS_PARTLY -> "would start %d tasks now".formatted(step.starts().size());
      case STOPS_RUNS ->
          "would stop %d runs and claim their capacity".formatted(step.stops().size());
      case AWAITS_STOPS -> "has claimed capacity that stops are about to free";
      case WAITS -> "waits";
      case FITS_NOWHERE -> "fits nowhere, even on empty workers";
    };
  }

  private static String describe(RackView rack) {
    return ("  rack %s: fitting %d now, %d after stops, %d when empty, of %d; "
            + "%d workers, %d excluded, %d without the label; wait %s")
        .formatted(
            rack.rack(),
            rack.fittingNow(),
            rack.fittingAfterStops(),
            rack.fittingWhenEmpty(),
            rack.tasks(),
            rack.workers(),
            rack.excluded(),
            rack.withoutLabel(),
            describeWait(rack.expectedWaitMillis()));
  }

  private static String describeWait(long millis) {
    return millis == ExplanationView.NO_END_IN_SIGHT ? "no end in sight" : millis + " ms";
  }
}
