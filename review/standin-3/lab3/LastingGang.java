package lab3;

import java.nio.file.Path;

/** No case: a lasting gang whose run ends done is taken for completed and never started again. */
final class LastingGang {
  private static final String PREFIX = "/print/";
  private static final String JOB = "5c0e7a21d94b3641";

  public static void main(String[] arguments) throws Exception {
    Record record = new Record(Path.of(arguments[0]));
    System.exit(run(record, arguments[1].equals("1")));
  }

  private static int run(Record record, boolean trouble) throws Exception {
    Worker.Script script =
        (worker, task, run, spec) ->
            new Worker.Course(trouble && run == 1 ? 8_000 : Worker.Course.LASTING, "done");
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
    String body =
        "{\"spec\":\"preview model\",\"steps\":[{\"count\":2,\"cpu\":52000,\"mem_mb\":65536,"
            + "\"gpu\":8,\"estimate_ms\":10000,\"gang\":true,\"daemon\":true}]}";
    if (!deployment.submit(PREFIX, JOB, body)) {
      record.add("could not run: the job was not accepted");
      return 2;
    }
    Worker.pause(10_000);
    String state = deployment.awaitState(PREFIX, JOB, 20_000, "failed", "completed", "cancelled");
    Worker.pause(13_000);
    int running = 0;
    for (Worker worker : deployment.workers) {
      running += worker.runs(JOB) ? 1 : 0;
    }
    record.add("at the end: state %s, %d of 2 tasks at work", state, running);
    if (running < 2) {
      record.add("RULE BROKEN (LOST): 14 of 16 workers or more are idle, nobody has cancelled it");
      return 1;
    }
    record.add("rule held");
    return 0;
  }
}
