package review;

/** The worker of a task that lasts crashes and starts again, three times within a minute. */
final class CrashedWorkers extends Case {
  private static final String JOB = "00000000000000f1";
  private static final int WORKERS = 8;
  private static final int CRASHES = 3;

  /** Shorter than the longest in the site file, 4.5 s. */
  private static final long DOWN_MILLIS = 2_000;

  /** Time for which a run works before its worker crashes. */
  private static final long RUN_MILLIS = 4_000;

  /** A task that lasts must run again 3 s after it could, counted from 6 s after its last run. */
  private static final long BOUND_MILLIS = 6_000 + 3_000;

  public static void main(String[] arguments) {
    run(new CrashedWorkers(), arguments);
  }

  @Override
  String play() throws Exception {
    Deployment d =
        new Deployment(
            record, 3, WORKERS, 8,
            run ->
                run.task.startsWith(JOB)
                    ? Worker.Outcome.LASTS
                    : new Worker.Outcome(1_000, "done"));
    d.start();
    String path = "/audit/" + JOB;
    d.submit(
        d.other(), "/audit/", JOB, "a service",
        "{\"count\":1,\"cpu\":4000,\"mem_mb\":8000,\"gpu\":1,\"daemon\":true}");
    d.await("the task starts", 5_000, () -> !d.runsOf(JOB).isEmpty());
    int crashes = 0;
    long until = record.millis() + 70_000;
    int other = 0;
    long nextOther = record.millis();
    while (record.millis() < until) {
      if (record.millis() >= nextOther) {
        // Other jobs show that the workers are sound and that there is room on them.
        nextOther += 8_000;
        d.submit(
            d.other(), "/audit/", "%016x".formatted(0xf100 + other++), "another job",
            "{\"count\":4,\"cpu\":4000,\"mem_mb\":8000,\"gpu\":1,\"estimate_ms\":1000,\"max_per_server\":1}");
      }
      var runs = d.runsOf(JOB);
      Worker.Run last = runs.get(runs.size() - 1);
      if (trouble && crashes < CRASHES && last.isRunning()
          && record.millis() - last.fromMillis > RUN_MILLIS) {
        crashes++;
        last.worker.crash(DOWN_MILLIS);
      }
      if (!last.isRunning() && record.millis() - last.toMillis > BOUND_MILLIS) {
        String state = d.state(d.other(), path);
        int othersDone =
            (int) d.runs.stream().filter(run -> !run.task.startsWith(JOB) && run.how.equals("done")).count();
        return "no run of the task for %d ms, after %d runs that were lost with their workers; nobody has cancelled its job, which is shown as %s; %d tasks of other jobs were done"
            .formatted(record.millis() - last.toMillis, runs.size(), state, othersDone);
      }
      Thread.sleep(50);
    }
    return null;
  }
}
