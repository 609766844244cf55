package lab3;

import java.nio.file.Path;

/** Case 14: a job waits for ever, since its tasks have failed once on each worker that may run it. */
final class ExcludedWorkers {
  private static final String PREFIX = "/print/";
  private static final String JOB = "5c0e7a21d94b3612";
  private static final long GREY_MILLIS = 6_000;
  private static final long TASK_MILLIS = 2_000;

  /** When workers of kind b fail no longer what they start. */
  private static volatile long greyUntilNanos;

  public static void main(String[] arguments) throws Exception {
    Record record = new Record(Path.of(arguments[0]));
    System.exit(run(record, arguments[1].equals("1")));
  }

  private static Worker.Course course(Worker worker, String task, int run, String spec) {
    boolean grey = worker.name.equals("w15") || worker.name.equals("w23");
    return grey && System.nanoTime() < greyUntilNanos
        ? new Worker.Course(200, "failed")
        : new Worker.Course(TASK_MILLIS, "done");
  }

  private static int run(Record record, boolean trouble) throws Exception {
    greyUntilNanos = System.nanoTime();
    Deployment deployment = new Deployment(record);
    for (int i = 0; i < 24; i++) {
      deployment.addWorker(i == 15 || i == 23 ? "b" : "a", ExcludedWorkers::course);
    }
    deployment.configure();
    deployment.addEdges(3);
    if (!deployment.awaitReady(30_000)) {
      record.add("could not run: the processes are not ready");
      return 2;
    }
    if (trouble) {
      greyUntilNanos = System.nanoTime() + GREY_MILLIS * 1_000_000;
      record.add("two workers of 24, those of kind b, fail all that they start for 6 s");
    }
    String body =
        "{\"spec\":\"print run 12\",\"steps\":[{\"count\":2,\"cpu\":52000,\"mem_mb\":65536,"
            + "\"gpu\":4,\"estimate_ms\":2000,\"required_label\":\"b\"}]}";
    if (!deployment.submit(PREFIX, JOB, body)) {
      record.add("could not run: the job was not accepted");
      return 2;
    }
    Worker.pause(GREY_MILLIS);
    record.add("all workers are well");
    String state = deployment.awaitState(PREFIX, JOB, 40_000, "failed", "completed", "cancelled");
    record.add("at the end: state %s", state);
    if (!state.equals("completed")) {
      record.add(
          "RULE BROKEN (LOST): 40 s after the end of the disruption nothing of the job runs; both"
              + " workers of kind b are idle and well, and each has room for both tasks");
      return 1;
    }
    record.add("rule held");
    return 0;
  }
}
