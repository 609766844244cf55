package lab3;

import java.nio.file.Path;

/** Case 14: a queue moves to another service, and a scheduled job of it never runs again. */
final class MovedQueue {
  private static final String PREFIX = "/check/";
  private static final String JOB = "5c0e7a21d94b3613";
  private static final int REPEATS = 3;
  private static final long INTERVAL_MILLIS = 12_000;

  public static void main(String[] arguments) throws Exception {
    Record record = new Record(Path.of(arguments[0]));
    System.exit(run(record, arguments[1].equals("1")));
  }

  private static int run(Record record, boolean trouble) throws Exception {
    Worker.Script script = (worker, task, run, spec) -> new Worker.Course(1_500, "done");
    Deployment deployment = new Deployment(record);
    for (int i = 0; i < 16; i++) {
      deployment.addWorker("a", script);
    }
    for (int i = 0; i < 16; i++) {
      deployment.addWorker(Deployment.OTHER_SERVICE, "a", script);
    }
    deployment.configure(7, Deployment.SERVICE, true);
    deployment.addEdges(3);
    if (!deployment.awaitReady(30_000)) {
      record.add("could not run: the processes are not ready");
      return 2;
    }
    long firstDue = System.currentTimeMillis() + 1_000;
    String body =
        "{\"spec\":\"nightly check\",\"start_at_ms\":" + firstDue + ",\"interval_ms\":"
            + INTERVAL_MILLIS + ",\"repeats\":" + REPEATS + ",\"steps\":[{\"count\":2,"
            + "\"cpu\":11000,\"mem_mb\":33000,\"gpu\":1,\"estimate_ms\":1500}]}";
    if (!deployment.submit(PREFIX, JOB, body)) {
      record.add("could not run: the job was not accepted");
      return 2;
    }
    Worker.pause(5_000);
    if (trouble) {
      deployment.configure(9, Deployment.OTHER_SERVICE, false);
      record.add(
          "version 9 acknowledged: the queue goes to %s, %s is no longer named",
          Deployment.OTHER_SERVICE, Deployment.SERVICE);
    }
    String state =
        deployment.awaitState(
            PREFIX, JOB, REPEATS * INTERVAL_MILLIS + 25_000, "failed", "completed", "cancelled");
    record.add("at the end: state %s", state);
    if (!state.equals("completed")) {
      record.add(
          "RULE BROKEN (LOST): later occurrences have been due for more than 14 s and nothing of"
              + " them runs; all workers of both services are idle");
      return 1;
    }
    record.add("rule held");
    return 0;
  }
}
