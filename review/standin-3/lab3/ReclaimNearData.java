package lab3;

import java.nio.file.Path;

/** Case 12: a guaranteed step that is wider than the rack of its data reclaims nothing. */
final class ReclaimNearData {
  private static final String BULK = "5c0e7a21d94b3661";
  private static final String URGENT = "5c0e7a21d94b3662";
  private static final int TASKS = 9;
  private static final double RECLAIM_SECONDS = 3.4;

  public static void main(String[] arguments) throws Exception {
    Record record = new Record(Path.of(arguments[0]));
    System.exit(run(record, arguments[1].equals("1")));
  }

  private static int run(Record record, boolean trouble) throws Exception {
    double[] urgentStarts = new double[TASKS];
    Worker.Script script =
        (worker, task, run, spec) -> {
          if (task.startsWith(BULK)) {
            return new Worker.Course(600_000, "done");
          }
          int index = Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
          urgentStarts[index] = urgentStarts[index] == 0 ? record.seconds() : urgentStarts[index];
          return new Worker.Course(2_500, "done");
        };
    Deployment deployment = new Deployment(record);
    for (int i = 0; i < 24; i++) {
      deployment.addWorker("a", script);
    }
    deployment.configure();
    deployment.addEdges(3);
    if (!deployment.awaitReady(30_000)) {
      record.add("could not run: the processes are not ready");
      return 2;
    }
    if (trouble) {
      String bulk =
          "{\"spec\":\"bulk\",\"steps\":[{\"count\":24,\"cpu\":52000,\"mem_mb\":65536,"
              + "\"gpu\":8,\"estimate_ms\":600000,\"checkpoints\":true}]}";
      if (!deployment.submit(Deployment.OTHER_KEY, "/check/", BULK, bulk)) {
        record.add("could not run: the bulk job was not accepted");
        return 2;
      }
      Worker.pause(4_000);
    }
    String urgent =
        "{\"spec\":\"proof 9\",\"steps\":[{\"count\":" + TASKS + ",\"cpu\":15000,\"mem_mb\":44000,"
            + "\"gpu\":8,\"estimate_ms\":2500,\"data_rack\":\"r1-1\"}]}";
    record.add("tenant atelier asks for 72 of its 96 accelerators at priority 0");
    if (!deployment.submit("/proof/", URGENT, urgent)) {
      record.add("could not run: the urgent job was not accepted");
      return 2;
    }
    double accepted = record.seconds();
    String state = deployment.awaitState("/proof/", URGENT, 40_000, "failed", "completed");
    record.add("at the end: state %s", state);
    int late = 0;
    for (double start : urgentStarts) {
      late += start == 0 || start - accepted > RECLAIM_SECONDS ? 1 : 0;
    }
    if (late > 0) {
      record.add(
          "RULE BROKEN (RECLAIM): %d of %d tasks of the guaranteed job have not begun within 3.4 s",
          late, TASKS);
      return 1;
    }
    record.add("rule held");
    return 0;
  }
}
