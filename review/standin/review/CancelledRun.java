package review;

/**
 * A job is cancelled while the worker of its task is cut off; before the worker is back, the machine
 * that gives the orders is restarted as planned.
 */
final class CancelledRun extends Case {
  private static final String JOB = "00000000000000a1";

  /** Shorter than the longest cut of workers in the site file, 5.5 s, and than a lease. */
  private static final long CUT_MILLIS = 3_000;

  private static final long GRACE_MILLIS = 6_000;

  public static void main(String[] arguments) {
    run(new CancelledRun(), arguments);
  }

  @Override
  String play() throws Exception {
    Deployment d =
        new Deployment(record, 3, 7, 8, run -> new Worker.Outcome(60_000, "done"));
    d.start();
    String path = "/read/" + JOB;
    d.submit(
        d.other(), "/read/", JOB, "one long task",
        "{\"count\":1,\"cpu\":5600,\"mem_mb\":8200,\"gpu\":1,\"estimate_ms\":60000}");
    d.await("the task starts", 5_000, () -> d.runsOf(JOB).size() == 1);
    Worker.Run run = d.runsOf(JOB).get(0);
    Thread.sleep(1_000);
    long cutAt = record.millis();
    if (trouble) {
      run.worker.cut(true);
    }
    Thread.sleep(300);
    Deployment.Vm other = d.other();
    if (d.call("DELETE", other, path, null).status() / 100 != 2) {
      throw new IllegalStateException("the cancel was not acknowledged");
    }
    long acknowledgedAt = record.millis();
    d.await("the job is shown as cancelled", 4_000, () -> d.state(other, path).equals("cancelled"));
    Deployment.Vm planner = d.planner();
    Thread roll =
        new Thread(
            () -> {
              planner.term(GRACE_MILLIS);
              try {
                planner.start();
              } catch (java.io.IOException e) {
                record.line("cannot start again: " + e);
              }
            });
    roll.start();
    Thread.sleep(Math.max(0, cutAt + CUT_MILLIS - record.millis()));
    if (trouble) {
      run.worker.cut(false);
    }
    roll.join();
    d.await("all machines are ready", 20_000, () -> d.vms.stream().allMatch(Deployment.Vm::isReady));
    long calmFrom = record.millis();
    record.line("no disruption from here on; " + d.planner().name + " gives the orders");
    long bound =
        Deployment.CONTACT_MILLIS + Deployment.CANCEL_MILLIS + Deployment.STOP_MILLIS + 1_000;
    while (record.millis() < calmFrom + bound && run.isRunning()) {
      Thread.sleep(50);
    }
    d.state(other, path);
    return run.isRunning()
        ? "the task runs %d ms after its job's cancelling was acknowledged, and %d ms after the last disruption"
            .formatted(record.millis() - acknowledgedAt, record.millis() - calmFrom)
        : null;
  }
}
