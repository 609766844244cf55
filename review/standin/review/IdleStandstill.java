package review;

/** Large urgent jobs come at once and are cancelled; less urgent work then waits in front of idle workers. */
final class IdleStandstill extends Case {
  private static final String WAITING_JOB = "00000000000000d1";

  /** Large urgent jobs: as wide as the widest of the class in the site file. */
  private static final int URGENT_JOBS = 4;

  private static final int URGENT_WIDTH = 18;

  public static void main(String[] arguments) {
    run(new IdleStandstill(), arguments);
  }

  @Override
  String play() throws Exception {
    Deployment d =
        new Deployment(
            record, 3, 3, 8,
            run -> new Worker.Outcome(run.task.startsWith(WAITING_JOB) ? 1_000 : 2_500, "done"));
    d.start();
    if (trouble) {
      for (int i = 0; i < URGENT_JOBS; i++) {
        String id = "%016x".formatted(0xd100 + i);
        d.submit(
            d.other(), "/urgent/", id, "urgent",
            "{\"count\":%d,\"cpu\":7500,\"mem_mb\":15000,\"gpu\":8,\"estimate_ms\":2500}"
                .formatted(URGENT_WIDTH));
      }
      Thread.sleep(800);
      for (int i = 0; i < URGENT_JOBS; i++) {
        d.call("DELETE", d.other(), "/urgent/%016x".formatted(0xd100 + i), null);
      }
    }
    d.submit(
        d.other(), "/read/", WAITING_JOB, "one small task",
        "{\"count\":1,\"cpu\":5600,\"mem_mb\":8200,\"gpu\":1,\"estimate_ms\":1000}");
    long endOfTraffic = record.millis();
    record.line("the traffic ends");
    long idleSince = -1;
    while (record.millis() < endOfTraffic + Deployment.FINISH_MILLIS + 25_000) {
      if (!d.runsOf(WAITING_JOB).isEmpty()) {
        Worker.Run run = d.runsOf(WAITING_JOB).get(0);
        record.line("the job waited for " + (run.fromMillis - endOfTraffic) + " ms");
        return null;
      }
      boolean idle = d.runs.stream().noneMatch(Worker.Run::isRunning);
      long now = record.millis();
      if (!idle || now < endOfTraffic + Deployment.FINISH_MILLIS) {
        idleSince = now;
      }
      if (now - idleSince > 3_000) {
        String state = d.state(d.other(), "/read/" + WAITING_JOB);
        return "%d ms after the end of the traffic the job is shown as %s, none of its tasks runs or has run, and for %d ms no task at all has run on the 3 workers"
            .formatted(now - endOfTraffic, state, now - idleSince);
      }
      Thread.sleep(20);
    }
    return null;
  }
}
