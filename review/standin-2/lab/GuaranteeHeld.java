package lab;

import java.util.List;

/** Case: tasks of another tenant that last fill the service. A guarantee must still be met. */
final class GuaranteeHeld {
  private static final Deployment.Queue URGENT = new Deployment.Queue("settles", 0, 3, 1.5, 400);
  private static final Deployment.Queue QUEUE = new Deployment.Queue("audits", 1, 3, 3, 1_200);
  private static final int WORKERS = 4;
  private static final int ACCELERATORS = 8;
  private static final int MEMBERS = 4;
  private static final long RECLAIM_MILLIS = 2_900;
  private static final long OBSERVED_MILLIS = 20_000;
  private static final long LONG_TASK_MILLIS = 60_000;
  private static final String FILLER = "1c0e7a21d94b36f8";
  private static final String JOB = "5c0e7a21d94b36f8";

  private GuaranteeHeld() {}

  public static void main(String[] arguments) {
    Case.run(arguments, Site.KHET_TILL, GuaranteeHeld::run);
  }

  private static String run(Deployment deployment) throws Exception {
    List<Worker> workers =
        deployment.startWorkers(
            WORKERS,
            i -> List.of("a", "r1-1"),
            run -> new Worker.Outcome(LONG_TASK_MILLIS, "done"));
    deployment.configure(QUEUE, URGENT);
    deployment.startNodes(2);
    Thread.sleep(2_000);
    // Without the trouble the same tasks do not last, but are long.
    String filler =
        "{\"spec\":\"serve\",\"steps\":[{\"count\":%d,\"cpu\":4000,\"mem_mb\":8000,\"gpu\":1%s}]}"
            .formatted(
                WORKERS * ACCELERATORS,
                deployment.trouble ? ",\"daemon\":true" : ",\"estimate_ms\":60000");
    deployment.submit(QUEUE.path(FILLER), filler, Deployment.OTHER_KEY);
    Thread.sleep(4_000);
    if (countTasks(workers, FILLER) != WORKERS * ACCELERATORS) {
      throw new Case.NotRun("the service is not full");
    }
    deployment.submit(
        URGENT.path(JOB),
        "{\"spec\":\"settle\",\"steps\":[{\"count\":%d,\"cpu\":7500,\"mem_mb\":15000,\"gpu\":%d,"
                .formatted(MEMBERS, Deployment.GUARANTEED_ACCELERATORS / MEMBERS)
            + "\"estimate_ms\":2500}]}");
    long accepted = deployment.record.millis();
    int begun = 0;
    while (deployment.record.millis() - accepted < OBSERVED_MILLIS && begun < MEMBERS) {
      Thread.sleep(50);
      begun = Math.max(begun, countTasks(workers, JOB));
    }
    long took = deployment.record.millis() - accepted;
    return begun == MEMBERS && took <= RECLAIM_MILLIS
        ? null
        : ("%d of %d tasks of a job of priority 0 have begun %d ms after its acknowledgement; it needs"
                + " %d accelerators, as many as its tenant is guaranteed; it is %s")
            .formatted(
                begun, MEMBERS, took, Deployment.GUARANTEED_ACCELERATORS,
                deployment.state(URGENT.path(JOB)));
  }

  private static int countTasks(List<Worker> workers, String job) {
    return (int)
        workers.stream()
            .flatMap(worker -> worker.runningTasks().stream())
            .filter(task -> task.startsWith(job))
            .count();
  }
}
