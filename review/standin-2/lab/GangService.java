package lab;

import java.util.List;

/** Case: the tasks of a lasting gang end. They must be restarted however they end. */
final class GangService {
  private static final Deployment.Queue QUEUE = new Deployment.Queue("services", 1, 3, 3, 1_200);
  private static final int WORKERS = 8;
  private static final int MEMBERS = 4;
  private static final long FIRST_RUN_MILLIS = 3_000;
  private static final long RESTART_MILLIS = 6_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final long OBSERVED_MILLIS = 20_000;
  private static final String JOB = "5c0e7a21d94b36f8";

  private GangService() {}

  public static void main(String[] arguments) {
    Case.run(arguments, Site.KHET_TILL, GangService::run);
  }

  private static String run(Deployment deployment) throws Exception {
    List<Worker> workers =
        deployment.startWorkers(
            WORKERS,
            i -> List.of("a", "r1-1"),
            run ->
                deployment.trouble && run.number == 1
                    ? new Worker.Outcome(FIRST_RUN_MILLIS, "done")
                    : new Worker.Outcome(Long.MAX_VALUE / 4, "done"));
    deployment.configure(QUEUE);
    deployment.startNodes(2);
    deployment.submit(
        QUEUE.path(JOB),
        "{\"spec\":\"serve\",\"steps\":[{\"count\":%d,\"cpu\":7500,\"mem_mb\":15000,\"gpu\":4,"
                .formatted(MEMBERS)
            + "\"gang\":true,\"same_rack\":true,\"daemon\":true}]}");
    long idleSince = -1;
    long end = deployment.record.millis() + OBSERVED_MILLIS;
    while (deployment.record.millis() < end) {
      long now = deployment.record.millis();
      boolean idle = workers.stream().allMatch(worker -> worker.runningTasks().isEmpty());
      idleSince = !idle ? -1 : idleSince < 0 ? now : idleSince;
      if (idle && now - idleSince > RESTART_MILLIS + IDLE_MILLIS) {
        return ("job %s is shown as %s; nobody has cancelled it. Its tasks last, and none has run"
                + " for %d ms while all workers are idle.")
            .formatted(JOB, deployment.state(QUEUE.path(JOB)), now - idleSince);
      }
      Thread.sleep(100);
    }
    String state = deployment.state(QUEUE.path(JOB));
    return state.equals("running") ? null : "the tasks run, but the job is shown as " + state;
  }
}
