package lab;

import java.util.List;

/**
 * Case: two workers crash and start again under their ids, each at the address that the other had.
 * Work that only they may run must go on.
 */
final class AddressReuse {
  private static final Deployment.Queue QUEUE = new Deployment.Queue("counts", 2, 2, 3, 3_000);
  private static final String LABEL = "b";
  private static final int WORKERS = 16;
  private static final long TASK_MILLIS = 5_000;
  private static final long DOWN_MILLIS = 3_000;
  private static final long FIRST_ANSWER_MILLIS = 500;
  private static final long PUBLISH_MILLIS = 300;
  private static final long FINISH_MILLIS = 14_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final String JOB = "5c0e7a21d94b36f8";

  private AddressReuse() {}

  public static void main(String[] arguments) {
    Case.run(arguments, Site.KHET_TILL, AddressReuse::run);
  }

  private static String run(Deployment deployment) throws Exception {
    List<Worker> workers =
        deployment.startWorkers(
            WORKERS,
            i -> i < 2 ? List.of("a", "r1-1", LABEL) : List.of("a", "r1-1"),
            run -> new Worker.Outcome(TASK_MILLIS, "done"));
    deployment.configure(QUEUE);
    deployment.startNodes(2);
    Thread.sleep(2_000);
    deployment.submit(
        QUEUE.path(JOB),
        "{\"spec\":\"count\",\"steps\":[{\"count\":4,\"cpu\":5600,\"mem_mb\":8200,\"gpu\":1,"
            + "\"estimate_ms\":5000,\"max_per_server\":2,\"required_label\":\"" + LABEL + "\"}]}");
    Thread.sleep(2_000);
    Worker one = workers.get(0);
    Worker other = workers.get(1);
    one.crash();
    other.crash();
    Thread.sleep(DOWN_MILLIS);
    if (deployment.trouble) {
      int port = one.port();
      one.moveTo(other.port());
      other.moveTo(port);
    }
    one.setColdStart(FIRST_ANSWER_MILLIS, PUBLISH_MILLIS);
    other.setColdStart(FIRST_ANSWER_MILLIS, PUBLISH_MILLIS);
    one.start();
    other.start();
    Thread.sleep(FINISH_MILLIS);
    long observed = deployment.record.millis();
    while (deployment.record.millis() - observed < 2 * IDLE_MILLIS) {
      boolean busy = !one.runningTasks().isEmpty() || !other.runningTasks().isEmpty();
      if (busy || deployment.state(QUEUE.path(JOB)).equals("completed")) {
        return null;
      }
      Thread.sleep(200);
    }
    return "job %s is %s and has nothing running for %d ms; the two workers that may run it are idle"
        .formatted(JOB, deployment.state(QUEUE.path(JOB)), 2 * IDLE_MILLIS);
  }
}
