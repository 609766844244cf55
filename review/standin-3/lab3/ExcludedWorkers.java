package lab3;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Case 14: a job that can't be done is tried on each worker, then waits for ever unanswered. */
final class ExcludedWorkers {
  private static final String PREFIX = "/print/";
  private static final String JOB = "5c0e7a21d94b3612";
  private static final int WORKERS = 33;
  private static final int TASKS = 24;
  private static final int MAX_ATTEMPTS = 4;

  public static void main(String[] arguments) throws Exception {
    Record record = new Record(Path.of(arguments[0]));
    System.exit(run(record, arguments[1].equals("1")));
  }

  private static int run(Record record, boolean trouble) throws Exception {
    Map<String, Integer> failures = new ConcurrentHashMap<>();
    Worker.Script script =
        (worker, task, run, spec) -> {
          if (!trouble) {
            return new Worker.Course(2_000, "done");
          }
          failures.merge(task, 1, Integer::sum);
          return new Worker.Course(1_000, "failed");
        };
    Deployment deployment = new Deployment(record);
    for (int i = 0; i < WORKERS; i++) {
      deployment.addWorker("a", script);
    }
    deployment.configure();
    deployment.addEdges(3);
    if (!deployment.awaitReady(30_000)) {
      record.add("could not run: the processes are not ready");
      return 2;
    }
    String body =
        "{\"spec\":\"print run 12\",\"steps\":[{\"count\":" + TASKS + ",\"cpu\":52000,"
            + "\"mem_mb\":65536,\"gpu\":4,\"estimate_ms\":2000}]}";
    if (!deployment.submit(PREFIX, JOB, body)) {
      record.add("could not run: the job was not accepted");
      return 2;
    }
    String state = deployment.awaitState(PREFIX, JOB, 60_000, "failed", "completed", "cancelled");
    int most = failures.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    record.add(
        "at the end: state %s, at most %d failed runs of a task of the %d allowed", state, most,
        MAX_ATTEMPTS);
    if (state.equals("running") || state.equals("pending")) {
      record.add(
          "RULE BROKEN (LOST): nothing of the job has run for 40 s or more, all %d workers are idle",
          WORKERS);
      return 1;
    }
    record.add("rule held");
    return 0;
  }
}
