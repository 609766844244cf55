package lab;

import java.util.List;

/** Case: a worker goes down and up by turns. The lasting task that it runs must be restarted. */
final class FlappingWorker {
  private static final Deployment.Queue QUEUE = new Deployment.Queue("services", 1, 3, 3, 1_200);
  private static final int WORKERS = 8;
  private static final long PERIOD_MILLIS = 1_400;
  private static final long FLAP_MILLIS = 6_500;
  private static final long RESTART_MILLIS = 6_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final String FILLER = "1c0e7a21d94b36f8";
  private static final String JOB = "5c0e7a21d94b36f8";

  private FlappingWorker() {}

  public static void main(String[] arguments) {
    Case.run(arguments, Site.KHET_TILL_GROWN, FlappingWorker::run);
  }

  private static String run(Deployment deployment) throws Exception {
    List<Worker> workers =
        deployment.startWorkers(
            WORKERS,
            i -> List.of("a", "r1-1"),
            run -> new Worker.Outcome(Long.MAX_VALUE / 4, "done"));
    deployment.configure(QUEUE);
    deployment.startNodes(2);
    // One task on each of seven workers leaves one worker with all of its accelerators free.
    deployment.submit(QUEUE.path(FILLER), job(WORKERS - 1, 2, ",\"max_per_server\":1"));
    Thread.sleep(2_000);
    deployment.submit(QUEUE.path(JOB), job(1, 8, ""));
    Thread.sleep(3_000);
    Worker host =
        workers.stream()
            .filter(worker -> worker.runningTasks().contains(JOB + ".0.0.0"))
            .findFirst()
            .orElseThrow(() -> new Case.NotRun("the task does not run"));
    long end = deployment.record.millis() + FLAP_MILLIS;
    while (deployment.record.millis() < end) {
      if (deployment.trouble) {
        host.crash();
      }
      Thread.sleep(PERIOD_MILLIS / 2);
      if (deployment.trouble) {
        host.start();
      }
      Thread.sleep(PERIOD_MILLIS / 2);
    }
    long steady = deployment.record.millis();
    while (deployment.record.millis() - steady < RESTART_MILLIS + IDLE_MILLIS) {
      if (host.runningTasks().contains(JOB + ".0.0.0")) {
        String state = deployment.state(QUEUE.path(JOB));
        return state.equals("running") ? null : "the task runs, but its job is shown as " + state;
      }
      Thread.sleep(100);
    }
    return ("job %s is shown as %s; none of its runs has ended failed. Its task lasts and has not"
            + " been started again for %d ms on a steady worker that is empty.")
        .formatted(
            JOB, deployment.state(QUEUE.path(JOB)), deployment.record.millis() - steady);
  }

  private static String job(int count, int accelerators, String more) {
    return "{\"spec\":\"serve\",\"steps\":[{\"count\":%d,\"cpu\":7500,\"mem_mb\":15000,\"gpu\":%d,"
            .formatted(count, accelerators)
        + "\"daemon\":true" + more + "}]}";
  }
}
