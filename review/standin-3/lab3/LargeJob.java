package lab3;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** No case: the progress of a large job outgrows a record of the store; all jobs stand still. */
final class LargeJob {
  private static final String PREFIX = "/print/";
  private static final String LARGE = "5c0e7a21d94b3614";
  private static final String SMALL = "5c0e7a21d94b3615";
  private static final int STEPS = 1;
  private static final int STEP_TASKS = 2_000;

  public static void main(String[] arguments) throws Exception {
    Record record = new Record(Path.of(arguments[0]));
    System.exit(run(record, arguments[1].equals("1")));
  }

  private static int run(Record record, boolean trouble) throws Exception {
    AtomicInteger starts = new AtomicInteger();
    Worker.Script script =
        (worker, task, run, spec) -> {
          starts.incrementAndGet();
          if (!task.startsWith(LARGE)) {
            return new Worker.Course(1_500, "done");
          }
          return trouble && run == 1
              ? new Worker.Course(4_000, "failed", checkpoint(task))
              : new Worker.Course(6_000, "done");
        };
    Deployment deployment = new Deployment(record);
    for (int i = 0; i < 32; i++) {
      deployment.addWorker("a", script).beQuiet();
    }
    deployment.configure();
    deployment.addEdges(3);
    if (!deployment.awaitReady(30_000)) {
      record.add("could not run: the processes are not ready");
      return 2;
    }
    StringBuilder steps = new StringBuilder();
    for (int i = 0; i < STEPS; i++) {
      steps
          .append(i == 0 ? "" : ",")
          .append("{\"count\":")
          .append(STEP_TASKS)
          .append(",\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":6000,\"checkpoints\":true}");
    }
    if (!deployment.submit(PREFIX, LARGE, "{\"spec\":\"full run\",\"steps\":[" + steps + "]}")) {
      record.add("could not run: the job was not accepted");
      return 2;
    }
    for (int i = 0; i < 20; i++) {
      Worker.pause(1_000);
      record.add(
          "%d starts so far; bytes of the largest record refused: %d",
          starts.get(), deployment.store.largestRefused());
    }
    String body =
        "{\"spec\":\"proof\",\"steps\":[{\"count\":2,\"cpu\":15000,\"mem_mb\":44000,\"gpu\":1,"
            + "\"estimate_ms\":1500}]}";
    boolean accepted = deployment.submit("/proof/", SMALL, body);
    String state = deployment.awaitState("/proof/", SMALL, 30_000, "completed");
    String largeState = deployment.state(PREFIX, LARGE);
    record.add(
        "at the end: small job %s, large job %s, %d starts", state, largeState, starts.get());
    if (accepted && !state.equals("completed")) {
      record.add("RULE BROKEN (LOST): an accepted job of two tasks does not run on idle workers");
      return 1;
    }
    record.add("rule held");
    return 0;
  }

  /** A checkpoint of 128 characters. */
  private static String checkpoint(String task) {
    byte[] name = task.getBytes(StandardCharsets.US_ASCII);
    return String.format("%0128x", new BigInteger(1, name));
  }
}
