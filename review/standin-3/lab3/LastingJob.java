package lab3;

import java.nio.file.Path;

/** Case 15: a job that lasts is given up after three crashes of its workers. */
final class LastingJob {
  private static final String PREFIX = "/print/";
  private static final String JOB = "5c0e7a21d94b3611";

  public static void main(String[] arguments) throws Exception {
    Record record = new Record(Path.of(arguments[0]));
    System.exit(run(record, arguments[1].equals("1")));
  }

  private static int run(Record record, boolean trouble) throws Exception {
    Deployment deployment = new Deployment(record);
    Worker.Script script = (worker, task, run, spec) -> new Worker.Course(Worker.Course.LASTING, "done");
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
        "{\"spec\":\"preview service\",\"steps\":[{\"count\":1,\"cpu\":52000,\"mem_mb\":65536,"
            + "\"gpu\":4,\"estimate_ms\":10000,\"daemon\":true}]}";
    if (!deployment.submit(PREFIX, JOB, body)) {
      record.add("could not run: the job was not accepted");
      return 2;
    }
    for (int crash = 0; crash < 3; crash++) {
      Worker host = awaitHost(deployment, 15_000);
      if (host == null) {
        record.add("RULE BROKEN (LOST): no worker runs the job for 15 s, 15 of 16 are idle");
        return 1;
      }
      Worker.pause(10_000);
      if (trouble) {
        host.crash();
        Http.THREADS.execute(
            () -> {
              Worker.pause(4_500);
              try {
                host.start();
                record.add("worker %s starts again as %s", host.name, host.id());
              } catch (java.io.IOException e) {
                record.add("worker %s cannot start again: %s", host.name, e);
              }
            });
        Worker.pause(300);
      }
    }
    String state = deployment.awaitState(PREFIX, JOB, 15_000, "failed", "completed", "cancelled");
    Worker host = awaitHost(deployment, 10_000);
    record.add("at the end: state %s, at work on %s", state, host == null ? "no worker" : host.name);
    if (!state.equals("running") || host == null) {
      record.add("RULE BROKEN (LOST): no run has ended failed, nobody has cancelled the job");
      return 1;
    }
    record.add("rule held");
    return 0;
  }

  private static Worker awaitHost(Deployment deployment, long millis) {
    long until = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < until) {
      for (Worker worker : deployment.workers) {
        if (worker.isUp() && worker.runs(JOB)) {
          return worker;
        }
      }
      Worker.pause(50);
    }
    return null;
  }
}
