package review;

/** A task that lasts fails now and then, each time on another worker. */
final class LastingTask extends Case {
  private static final String JOB = "00000000000000b1";
  private static final int WORKERS = 6;

  /** Time for which a run works before it fails. */
  private static final long RUN_MILLIS = 2_500;

  /** A task that lasts must run again 3 s after it could, counted from 6 s after its last run. */
  private static final long BOUND_MILLIS = 6_000 + 3_000;

  public static void main(String[] arguments) {
    run(new LastingTask(), arguments);
  }

  @Override
  String play() throws Exception {
    int[] failures = {0};
    Deployment d =
        new Deployment(
            record, 3, WORKERS, 8,
            run -> {
              if (!run.task.startsWith(JOB)) {
                return new Worker.Outcome(1_000, "done");
              }
              return trouble && failures[0]++ < WORKERS
                  ? new Worker.Outcome(RUN_MILLIS, "failed")
                  : Worker.Outcome.LASTS;
            });
    d.start();
    d.submit(
        d.other(), "/audit/", JOB, "a service",
        "{\"count\":1,\"cpu\":4000,\"mem_mb\":8000,\"gpu\":1,\"daemon\":true}");
    long until = record.millis() + 60_000;
    int other = 0;
    long nextOther = record.millis();
    while (record.millis() < until) {
      if (record.millis() >= nextOther) {
        // Other jobs show that the workers are sound and that there is room on them.
        nextOther += 5_000;
        d.submit(
            d.other(), "/audit/", "%016x".formatted(0xb100 + other++), "another job",
            "{\"count\":%d,\"cpu\":4000,\"mem_mb\":8000,\"gpu\":1,\"estimate_ms\":1000,\"max_per_server\":1}"
                .formatted(WORKERS));
      }
      var runs = d.runsOf(JOB);
      if (!runs.isEmpty()) {
        Worker.Run last = runs.get(runs.size() - 1);
        if (!last.isRunning() && record.millis() - last.toMillis > BOUND_MILLIS) {
          String state = d.state(d.other(), "/audit/" + JOB);
          int othersDone =
              (int) d.runs.stream().filter(run -> !run.task.startsWith(JOB) && run.how.equals("done")).count();
          return "no run of the task for %d ms, after %d runs that ended `failed`; its job is shown as %s; %d tasks of other jobs were done"
              .formatted(record.millis() - last.toMillis, runs.size(), state, othersDone);
        }
      }
      Thread.sleep(50);
    }
    return null;
  }
}
