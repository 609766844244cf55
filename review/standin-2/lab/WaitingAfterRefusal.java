package lab;

import java.util.List;

/** Case: an unhealthy worker refuses starts. Jobs of which no task has started are still waiting. */
final class WaitingAfterRefusal {
  private static final Deployment.Queue QUEUE = new Deployment.Queue("audits", 1, 3, 3, 1_200);
  private static final int WORKERS = 8;
  private static final int JOBS = 6;
  private static final long VISIBLE_MILLIS = 3_000;
  private static final long COUNT_AGE_MILLIS = 2_000;
  private static final long MARGIN_MILLIS = 2_000;
  private static final long TASK_MILLIS = 90_000;

  private WaitingAfterRefusal() {}

  public static void main(String[] arguments) {
    Case.run(arguments, Site.KHET_TILL, WaitingAfterRefusal::run);
  }

  private static String run(Deployment deployment) throws Exception {
    List<Worker> workers =
        deployment.startWorkers(
            WORKERS, i -> List.of("a", "r1-1"), run -> new Worker.Outcome(TASK_MILLIS, "done"));
    Worker unhealthy = workers.get(WORKERS - 1);
    if (deployment.trouble) {
      unhealthy.setUnhealthy(true);
    } else {
      // Without the refusals there must be as little room, or the jobs would not wait.
      unhealthy.crash();
    }
    deployment.configure(QUEUE);
    deployment.startNodes(2);
    deployment.submit(QUEUE.path("1c0e7a21d94b36f8"), job(WORKERS - 1, 8));
    Thread.sleep(5_000);
    for (int i = 0; i < JOBS; i++) {
      deployment.submit(QUEUE.path("%016x".formatted(0x5c0e7a21d94b3600L + i)), job(1, 1));
    }
    Thread.sleep(VISIBLE_MILLIS + COUNT_AGE_MILLIS + MARGIN_MILLIS);
    int running = workers.stream().mapToInt(worker -> worker.runningTasks().size()).sum();
    if (running != WORKERS - 1) {
      throw new Case.NotRun("%d tasks run, expected %d".formatted(running, WORKERS - 1));
    }
    String broken = null;
    for (Deployment.Node node : deployment.nodes()) {
      Deployment.Reply reply = deployment.call(node, "GET", QUEUE.path(""), null);
      if (reply.status() != 200) {
        throw new Case.NotRun("the count of the queue is not answered");
      }
      long waiting = (long) Json.object(reply.body()).get("waiting");
      if (2 * waiting < JOBS) {
        broken =
            "%s gives %d as waiting; %d jobs were accepted over 5 s before and have not begun"
                .formatted(node.name, waiting, JOBS);
      }
    }
    return broken;
  }

  private static String job(int count, int accelerators) {
    return "{\"spec\":\"audit\",\"steps\":[{\"count\":%d,\"cpu\":7500,\"mem_mb\":15000,\"gpu\":%d,"
            .formatted(count, accelerators)
        + "\"estimate_ms\":60000}]}";
  }
}
