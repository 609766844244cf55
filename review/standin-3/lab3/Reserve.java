package lab3;

import java.nio.file.Path;

/**
 * Case 15: a lasting task is not started again while capacity is set aside for urgent work that is
 * over.
 */
final class Reserve {
  private static final String BULK = "5c0e7a21d94b3651";
  private static final String LASTING = "5c0e7a21d94b3652";

  public static void main(String[] arguments) throws Exception {
    Record record = new Record(Path.of(arguments[0]));
    System.exit(run(record, arguments[1].equals("1")));
  }

  private static int run(Record record, boolean trouble) throws Exception {
    Worker.Script script =
        (worker, task, run, spec) -> {
          if (task.startsWith(LASTING) && run == 1) {
            return new Worker.Course(10_000, "failed");
          }
          return task.startsWith(LASTING) || task.startsWith(BULK)
              ? new Worker.Course(Worker.Course.LASTING, "done")
              : new Worker.Course(800, "done");
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
    String bulk =
        "{\"spec\":\"previews\",\"steps\":[{\"count\":7,\"cpu\":52000,\"mem_mb\":65536,"
            + "\"gpu\":8,\"estimate_ms\":10000,\"daemon\":true}]}";
    String lasting =
        "{\"spec\":\"index\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem_mb\":4096,"
            + "\"gpu\":1,\"estimate_ms\":10000,\"daemon\":true}]}";
    String urgent =
        "{\"spec\":\"proof\",\"steps\":[{\"count\":20,\"cpu\":15000,\"mem_mb\":44000,"
            + "\"gpu\":8,\"estimate_ms\":800}]}";
    if (!deployment.submit("/check/", BULK, bulk)
        || !deployment.submit("/check/", LASTING, lasting)) {
      record.add("could not run: the jobs were not accepted");
      return 2;
    }
    Worker.pause(6_000);
    double lastRun = 0;
    double longestIdle = 0;
    double idleSince = -1;
    for (int i = 0; i < 8; i++) {
      if (trouble) {
        deployment.submit("/proof/", "5c0e7a21d94b366" + i, urgent);
      }
      for (int k = 0; k < 80; k++) {
        Worker.pause(100);
        boolean runs = deployment.workers.stream().anyMatch(worker -> worker.runs(LASTING));
        long free = deployment.workers.stream().filter(worker -> worker.runCount() == 0).count();
        double now = record.seconds();
        lastRun = runs ? now : lastRun;
        boolean idle = !runs && now - lastRun > 6 && free >= 2;
        idleSince = idle ? (idleSince < 0 ? now : idleSince) : -1;
        longestIdle = idle ? Math.max(longestIdle, now - idleSince) : longestIdle;
      }
      record.add(
          "longest time with room and nothing running, 6 s after the last run: %.1f s",
          longestIdle);
    }
    if (longestIdle >= 3) {
      record.add("RULE BROKEN (LOST): a lasting task does not run for 3 s with room twice over");
      return 1;
    }
    record.add("rule held");
    return 0;
  }
}
