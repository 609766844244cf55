package lab3;

import java.nio.file.Path;

/** Case 12: a guaranteed tenant gets nothing while lasting tasks of another tenant hold all accelerators. */
final class Reclaim {
  private static final String LASTING = "5c0e7a21d94b3631";
  private static final String URGENT = "5c0e7a21d94b3632";
  private static final double RECLAIM_SECONDS = 3.4;

  public static void main(String[] arguments) throws Exception {
    Record record = new Record(Path.of(arguments[0]));
    System.exit(run(record, arguments[1].equals("1")));
  }

  private static int run(Record record, boolean trouble) throws Exception {
    double[] urgentStarts = new double[2];
    Worker.Script script =
        (worker, task, run, spec) -> {
          if (task.startsWith(LASTING)) {
            return new Worker.Course(Worker.Course.LASTING, "done");
          }
          int index = task.charAt(task.length() - 1) - '0';
          urgentStarts[index] = urgentStarts[index] == 0 ? record.seconds() : urgentStarts[index];
          return new Worker.Course(2_500, "done");
        };
    Deployment deployment = new Deployment(record);
    for (int i = 0; i < 16; i++) {
      deployment.addWorker("a", script);
    }
    deployment.configure();
    deployment.addEdges(3);
    if (!deployment.awaitReady(30_000)) {
      record.add("could not run: the processes are not ready");
      return 2;
    }
    if (trouble) {
      String lasting =
          "{\"spec\":\"previews\",\"steps\":[{\"count\":16,\"cpu\":52000,\"mem_mb\":65536,"
              + "\"gpu\":8,\"estimate_ms\":10000,\"checkpoints\":true,\"daemon\":true}]}";
      if (!deployment.submit(Deployment.OTHER_KEY, "/check/", LASTING, lasting)) {
        record.add("could not run: the lasting job was not accepted");
        return 2;
      }
      Worker.pause(4_000);
    }
    String urgent =
        "{\"spec\":\"proof 9\",\"steps\":[{\"count\":2,\"cpu\":15000,\"mem_mb\":44000,\"gpu\":4,"
            + "\"estimate_ms\":2500}]}";
    record.add("tenant atelier, with 96 accelerators guaranteed, asks for 8 of 128 at priority 0");
    if (!deployment.submit("/proof/", URGENT, urgent)) {
      record.add("could not run: the urgent job was not accepted");
      return 2;
    }
    double accepted = record.seconds();
    String state = deployment.awaitState("/proof/", URGENT, 40_000, "failed", "completed");
    record.add("at the end: state %s", state);
    for (double start : urgentStarts) {
      if (start == 0 || start - accepted > RECLAIM_SECONDS) {
        record.add(
            "RULE BROKEN (RECLAIM): a task of the guaranteed job has not begun within 3.4 s (%s)",
            start == 0 ? "nor in 40 s" : String.format("but after %.1f s", start - accepted));
        return 1;
      }
    }
    record.add("rule held");
    return 0;
  }
}
