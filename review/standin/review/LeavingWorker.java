package review;

import java.util.List;

/**
 * A worker that leaves stays for longer than it has promised, and is cut off meanwhile so that
 * connections to it are refused.
 */
final class LeavingWorker extends Case {
  private static final String JOB = "00000000000000c1";
  private static final long DRAIN_MILLIS = 2_500;

  /** Shorter than the longest cut of workers in the site file, 5.5 s, and than a lease. */
  private static final long CUT_MILLIS = 3_000;

  public static void main(String[] arguments) {
    run(new LeavingWorker(), arguments);
  }

  @Override
  String play() throws Exception {
    Deployment d =
        new Deployment(record, 3, 15, 8, run -> new Worker.Outcome(11_000, "done"));
    d.start();
    d.submit(
        d.other(), "/audit/", JOB, "one task of 11 s",
        "{\"count\":1,\"cpu\":26000,\"mem_mb\":38000,\"gpu\":8,\"estimate_ms\":11000}");
    d.await("the task starts", 5_000, () -> d.runsOf(JOB).size() == 1);
    Worker.Run first = d.runsOf(JOB).get(0);
    Thread.sleep(1_000);
    first.worker.drain(DRAIN_MILLIS, 12_000);
    Thread.sleep(DRAIN_MILLIS + 500);
    if (trouble) {
      first.worker.refuse(true);
    }
    Thread.sleep(CUT_MILLIS);
    if (trouble) {
      first.worker.refuse(false);
    }
    d.await("the first run ends", 20_000, () -> !first.isRunning());
    Thread.sleep(1_000);
    List<Worker.Run> runs = d.runsOf(JOB);
    for (Worker.Run run : runs) {
      if (run != first && run.fromMillis < first.toMillis) {
        return "run %d on %s began while run %d on %s, which is up, had %d ms left to run; it ended: %s"
            .formatted(
                run.number, run.worker.name(), first.number, first.worker.name(),
                first.toMillis - run.fromMillis, first.how);
      }
    }
    return null;
  }
}
