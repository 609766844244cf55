package lab3;

import java.nio.file.Path;

/** No case: a queue's count of waiting jobs leaves out jobs of which no task has ever started. */
final class WaitingCount {
  private static final String PREFIX = "/print/";
  private static final int JOBS = 6;
  private static final long SHED_MILLIS = 6_500;

  private static volatile long shedUntilNanos;

  public static void main(String[] arguments) throws Exception {
    Record record = new Record(Path.of(arguments[0]));
    System.exit(run(record, arguments[1].equals("1")));
  }

  private static Worker.Course course(Worker worker, String task, int run, String spec) {
    boolean grey = worker.name.equals("w15") || worker.name.equals("w23");
    return grey && System.nanoTime() < shedUntilNanos ? null : new Worker.Course(60_000, "done");
  }

  private static int run(Record record, boolean trouble) throws Exception {
    shedUntilNanos = System.nanoTime();
    Deployment deployment = new Deployment(record);
    for (int i = 0; i < 24; i++) {
      deployment.addWorker(i == 15 || i == 23 ? "b" : "a", WaitingCount::course);
    }
    deployment.configure();
    deployment.addEdges(3);
    if (!deployment.awaitReady(30_000)) {
      record.add("could not run: the processes are not ready");
      return 2;
    }
    if (trouble) {
      shedUntilNanos = System.nanoTime() + SHED_MILLIS * 1_000_000;
      record.add("two workers of 24, those of kind b, answer starts with 503 for 6.5 s");
    }
    String body =
        "{\"spec\":\"print run\",\"steps\":[{\"count\":1,\"cpu\":12000,\"mem_mb\":16384,"
            + "\"gpu\":1,\"estimate_ms\":60000,\"required_label\":\"b\"}]}";
    for (int i = 0; i < JOBS; i++) {
      if (!deployment.submit(PREFIX, "5c0e7a21d94b362" + i, body)) {
        record.add("could not run: a job was not accepted");
        return 2;
      }
    }
    Worker.pause(5_400);
    int begun = 0;
    for (Worker worker : deployment.workers) {
      begun += worker.runCount();
    }
    boolean broken = false;
    for (Deployment.Edge edge : deployment.edges) {
      Http.Answer answer =
          Http.call(edge.front, "GET", PREFIX, Deployment.HOST, Deployment.KEY, null);
      record.add("GET %s at %s: %d %s", PREFIX, edge.name, answer.status(), answer.text());
      long waiting = (long) Json.object(answer.text()).get("waiting");
      broken |= waiting * 2 < JOBS - begun;
    }
    record.add("%d of %d jobs have begun", begun, JOBS);
    if (broken) {
      record.add("RULE BROKEN (MIXED): waiting is under half of the jobs that have not begun");
      return 1;
    }
    record.add("rule held");
    return 0;
  }
}
