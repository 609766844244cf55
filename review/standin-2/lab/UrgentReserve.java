package lab;

import java.util.List;

/**
 * Case: an urgent job that can never be done is cancelled. Other work must not stand still on idle
 * workers after that.
 */
final class UrgentReserve {
  private static final Deployment.Queue URGENT = new Deployment.Queue("settles", 0, 3, 1.5, 400);
  private static final Deployment.Queue QUEUE = new Deployment.Queue("audits", 1, 3, 3, 1_200);
  private static final int WORKERS = 8;

  /** What a caller asks for that gives accelerators in thousandths, as cores are given. */
  private static final int HOPELESS_ACCELERATORS = 8_000;

  private static final long CANCEL_AFTER_MILLIS = 2_000;
  private static final long FINISH_MILLIS = 14_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final long TASK_MILLIS = 2_500;
  private static final String JOB = "1c0e7a21d94b36f8";

  private UrgentReserve() {}

  public static void main(String[] arguments) {
    Case.run(arguments, Site.KHET_TILL, UrgentReserve::run);
  }

  private static String run(Deployment deployment) throws Exception {
    List<Worker> workers =
        deployment.startWorkers(
            WORKERS, i -> List.of("a", "r1-1"), run -> new Worker.Outcome(TASK_MILLIS, "done"));
    deployment.configure(QUEUE, URGENT);
    deployment.startNodes(2);
    String hopeless = URGENT.path("5c0e7a21d94b36f8");
    if (deployment.trouble) {
      deployment.submit(hopeless, job(3, HOPELESS_ACCELERATORS));
    }
    Thread.sleep(CANCEL_AFTER_MILLIS);
    if (deployment.trouble
        && deployment.call(deployment.nodes().get(0), "DELETE", hopeless, null).status() != 200) {
      throw new Case.NotRun("the cancelling is not acknowledged");
    }
    deployment.submit(QUEUE.path(JOB), job(4, 1));
    Thread.sleep(FINISH_MILLIS);
    long observed = deployment.record.millis();
    while (deployment.record.millis() - observed < IDLE_MILLIS) {
      if (deployment.state(QUEUE.path(JOB)).equals("completed")
          || workers.stream().anyMatch(worker -> !worker.runningTasks().isEmpty())) {
        return null;
      }
      Thread.sleep(200);
    }
    return ("%d ms after the end of the traffic job %s is %s and has nothing running for %d ms"
            + " more, while all workers are idle")
        .formatted(FINISH_MILLIS, JOB, deployment.state(QUEUE.path(JOB)), IDLE_MILLIS);
  }

  private static String job(int count, int accelerators) {
    return "{\"spec\":\"settle\",\"steps\":[{\"count\":%d,\"cpu\":7500,\"mem_mb\":15000,\"gpu\":%d,"
            .formatted(count, accelerators)
        + "\"estimate_ms\":2500}]}";
  }
}
