package lab;

import java.util.List;

/** Case: a worker crashes and starts again under its id as a worker of another kind. */
final class OtherKind {
  private static final Deployment.Queue QUEUE = new Deployment.Queue("counts", 2, 2, 3, 3_000);
  private static final String LABEL = "b";
  private static final int WORKERS = 8;
  private static final long TASK_MILLIS = 3_000;
  private static final long DOWN_MILLIS = 2_000;

  /** Less than the interval of heartbeats. */
  private static final long PUBLISH_MILLIS = 800;

  private static final long OBSERVED_MILLIS = 10_000;
  private static final String JOB = "5c0e7a21d94b36f8";

  private OtherKind() {}

  public static void main(String[] arguments) {
    Case.run(arguments, Site.KHET_TILL, OtherKind::run);
  }

  private static String run(Deployment deployment) throws Exception {
    List<Worker> workers =
        deployment.startWorkers(
            WORKERS,
            i -> i == 0 ? List.of(LABEL, "r1-1") : List.of("a", "r1-1"),
            run -> new Worker.Outcome(TASK_MILLIS, "done"));
    deployment.configure(QUEUE);
    deployment.startNodes(2);
    Thread.sleep(2_000);
    deployment.submit(
        QUEUE.path(JOB),
        "{\"spec\":\"count\",\"steps\":[{\"count\":24,\"cpu\":5600,\"mem_mb\":8200,\"gpu\":1,"
            + "\"estimate_ms\":3000,\"required_label\":\"" + LABEL + "\"}]}");
    Thread.sleep(1_500);
    Worker worker = workers.get(0);
    worker.crash();
    Thread.sleep(DOWN_MILLIS);
    if (deployment.trouble) {
      worker.become(List.of("a", "r1-1"), 16_000, 32_768, 2);
    }
    worker.setColdStart(0, PUBLISH_MILLIS);
    worker.start();
    long back = deployment.record.millis();
    int most = 0;
    while (deployment.record.millis() - back < OBSERVED_MILLIS) {
      most = Math.max(most, worker.runningTasks().size());
      Thread.sleep(20);
    }
    if (!deployment.trouble) {
      return most > 0 ? null : "nothing runs on the worker after its return";
    }
    return most == 0
        ? null
        : ("%d tasks that need the label %s ran at once on worker %s, which has the labels a and r1-1"
                + " and 2 accelerators")
            .formatted(most, LABEL, worker.id);
  }
}
