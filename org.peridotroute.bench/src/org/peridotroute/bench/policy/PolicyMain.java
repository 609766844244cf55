package org.peridotroute.bench.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.bench.Arguments;
import org.peridotroute.bench.Figures;
import org.peridotroute.http.Json;
import org.peridotroute.policy.GuaranteedBestFit;
import org.peridotroute.policy.PlacementPolicy;

/**
 * Replays a workload with one placement policy or all of them: {@code policy --workload NAME --seed
 * N --jobs N [--policy NAME] [--compare table] [--trace FILE]}.
 */
public final class PolicyMain {
  private static final long HOLD_RACK_MILLIS = 60_000;
  private static final String BASELINE = "fifo-first-fit";

  private static final Map<String, PlacementPolicy> POLICIES =
      Map.of(
          "ours",
          new GuaranteedBestFit(HOLD_RACK_MILLIS),
          BASELINE,
          new SubmissionOrderPolicy(true),
          "best-fit",
          new SubmissionOrderPolicy(false));

  private PolicyMain() {}

  /**
   * Runs the bench.
   *
   * @param arguments the options listed at the class
   * @throws IOException if the trace cannot be read
   */
  public static void main(String[] arguments) throws IOException {
    Arguments options = new Arguments(List.of(arguments));
    Workload workload = workload(options);
    boolean compare = options.words().contains("--compare");
    List<String> names =
        compare ? List.of("ours", BASELINE, "best-fit") : List.of(options.text("--policy", "ours"));
    Map<String, Map<String, Double>> results = new LinkedHashMap<>();
    for (String name : names) {
      results.put(name, new Replay(workload, POLICIES.get(name)).run().values());
    }
    if (options.text("--compare", "").equals("table")) {
      printTable(workload, results);
    } else {
      printLines(workload, results);
    }
  }

  private static Workload workload(Arguments options) throws IOException {
    String name = options.text("--workload", "le-goff");
    int jobs = (int) options.number("--jobs", 2_000);
    Workload generated = Workload.generate(name, options.number("--seed", 1), jobs);
    String trace = options.text("--trace", "");
    if (trace.isEmpty()) {
      return generated;
    }
    List<TraceJob> traceJobs = new ArrayList<>();
    for (String line : Files.readAllLines(Path.of(trace))) {
      traceJobs.add(Json.read(line, TraceJob.class));
    }
    return new Workload(trace, generated.workers(), generated.organisations(), traceJobs);
  }

  private static void printLines(Workload workload, Map<String, Map<String, Double>> results) {
    Figures figures = new Figures(System.out);
    results.forEach(
        (policy, values) ->
            values.forEach(
                (name, value) ->
                    figures.print(
                        "policy." + workload.name() + "." + policy + "." + name,
                        value,
                        unitOf(name),
                        "",
                        formatBaseline(results, name))));
  }

  private static String formatBaseline(Map<String, Map<String, Double>> results, String name) {
    Map<String, Double> values = results.getOrDefault(BASELINE, Map.of());
    return values.containsKey(name) ? "%.4g".formatted(values.get(name)) : "";
  }

  private static String unitOf(String name) {
    if (name.endsWith("_s")) {
      return "s";
    }
    return name.endsWith("_ms") ? "ms" : "";
  }

  private static void printTable(Workload workload, Map<String, Map<String, Double>> results) {
    System.out.printf("%-34s", workload.name());
    results.keySet().forEach(name -> System.out.printf("%16s", name));
    System.out.println();
    for (String figure : results.get("ours").keySet()) {
      System.out.printf("%-34s", figure);
      results.values().forEach(values -> System.out.printf("%16.3f", values.get(figure)));
      System.out.println();
    }
  }
}
