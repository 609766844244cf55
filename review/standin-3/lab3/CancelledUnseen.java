package lab3;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;

/** Case 13: a job runs after its cancelling was acknowledged, since its write came late. */
final class CancelledUnseen {
  private static final String PREFIX = "/proof/";
  private static final String JOB = "5c0e7a21d94b3616";
  private static final long LATE_MILLIS = 6_000;
  private static final double CANCEL_SECONDS = 3.0;

  public static void main(String[] arguments) throws Exception {
    Record record = new Record(Path.of(arguments[0]));
    System.exit(run(record, arguments[1].equals("1")));
  }

  private static int run(Record record, boolean trouble) throws Exception {
    AtomicLong lastStartMillis = new AtomicLong(-1);
    Worker.Script script =
        (worker, task, run, spec) -> {
          lastStartMillis.set(Math.round(record.seconds() * 1_000));
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
    Worker.pause(2_000);
    if (trouble) {
      deployment.store.delayNextAppend("keyed.requests", LATE_MILLIS);
      record.add("store: the next write of a request gets no answer and is done 6 s later");
    }
    String body =
        "{\"spec\":\"proof 7\",\"steps\":[{\"count\":3,\"cpu\":15000,\"mem_mb\":44000,\"gpu\":1,"
            + "\"estimate_ms\":2500}]}";
    Http.Answer handedIn =
        Http.call(
            deployment.edges.get(0).front, "POST", PREFIX + JOB, Deployment.HOST, Deployment.KEY,
            body);
    record.add("POST at %s: %d", deployment.edges.get(0).name, handedIn.status());
    Http.Answer cancelled = null;
    for (int attempt = 0; attempt < 4; attempt++) {
      Deployment.Edge edge = deployment.edges.get((1 + attempt) % 3);
      cancelled =
          Http.call(edge.front, "DELETE", PREFIX + JOB, Deployment.HOST, Deployment.KEY, null);
      record.add("DELETE at %s: %d", edge.name, cancelled.status());
      if (cancelled.status() == 200 || cancelled.status() == 410) {
        break;
      }
      Worker.pause(300);
    }
    if (cancelled.status() != 200 && cancelled.status() != 410) {
      record.add("could not run: the cancelling was not acknowledged");
      return 2;
    }
    double acknowledged = record.seconds();
    Worker.pause(LATE_MILLIS + 6_000);
    record.add("at the end: state %s", deployment.state(PREFIX, JOB));
    double lateness = lastStartMillis.get() / 1e3 - acknowledged;
    if (lateness > CANCEL_SECONDS) {
      record.add(
          "RULE BROKEN (UNASKED): a task was started %.1f s after the acknowledgement", lateness);
      return 1;
    }
    record.add("rule held");
    return 0;
  }
}
