package review;

/** Tasks of one tenant that last fill all workers; another tenant then asks for its guarantee. */
final class GuaranteeHeld extends Case {
  private static final String JOB = "00000000000000a7";
  private static final int WORKERS = 3;
  private static final long RECLAIM_MILLIS = 2_900;

  public static void main(String[] arguments) {
    run(new GuaranteeHeld(), arguments);
  }

  @Override
  String play() throws Exception {
    Deployment d =
        new Deployment(
            record, 3, WORKERS, 8,
            run ->
                run.task.startsWith(JOB) ? new Worker.Outcome(2_500, "done")
                    : trouble ? Worker.Outcome.LASTS : new Worker.Outcome(30_000, "done"));
    d.start();
    for (int i = 0; i < WORKERS; i++) {
      d.submit(
          d.other(), Deployment.KEYS[1], "/audit/", "%016x".formatted(0xa700 + i), "fills a worker",
          "{\"count\":8,\"cpu\":4000,\"mem_mb\":8000,\"gpu\":1,"
              + (trouble ? "\"daemon\":true}" : "\"estimate_ms\":30000}"));
    }
    d.await("the workers are full", 8_000, () -> d.runs.size() == 8 * WORKERS);
    Thread.sleep(1_000);
    d.submit(
        d.other(), "/urgent/", JOB, "guaranteed",
        "{\"count\":2,\"cpu\":7500,\"mem_mb\":15000,\"gpu\":4,\"estimate_ms\":2500}");
    long acknowledgedAt = record.millis();
    while (record.millis() < acknowledgedAt + 30_000) {
      if (d.runsOf(JOB).size() >= 2) {
        record.line("the job has begun after " + (record.millis() - acknowledgedAt) + " ms");
        return d.runsOf(JOB).get(1).fromMillis - acknowledgedAt > RECLAIM_MILLIS
            ? "the job has begun all tasks only after " + (record.millis() - acknowledgedAt) + " ms"
            : null;
      }
      Thread.sleep(20);
    }
    String state = d.state(d.other(), "/urgent/" + JOB);
    return "a job of priority 0 within its tenant's guarantee has begun %d of its 2 tasks after 30 s; it is shown as %s"
        .formatted(d.runsOf(JOB).size(), state);
  }
}
