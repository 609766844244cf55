package lab;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Case: a few tasks of a wide step fail once. Their job must still be finished. */
final class ExcludedWorkers {
  private static final Deployment.Queue QUEUE = new Deployment.Queue("counts", 2, 2, 3, 3_000);
  private static final String LABEL = "b";
  private static final int WORKERS = 8;
  private static final int LABELLED = 3;
  private static final int TASKS = 72;
  private static final long TASK_MILLIS = 1_000;
  private static final long FINISH_MILLIS = 14_000;
  private static final long IDLE_MILLIS = 3_000;

  /** Time for which the job is given a chance to go on. */
  private static final long PATIENCE_MILLIS = 15_000;

  private static final String JOB = "5c0e7a21d94b36f8";
  private static final String OTHER_JOB = "6d1f8b32ea5c47a9";

  private final Deployment deployment;
  private final Set<String> failedOn = new HashSet<>();
  private final Set<String> failedTasks = new HashSet<>();

  private ExcludedWorkers(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] arguments) {
    Case.run(arguments, Site.KHET_TILL, deployment -> new ExcludedWorkers(deployment).run());
  }

  private String run() throws Exception {
    List<Worker> workers =
        deployment.startWorkers(
            WORKERS,
            i -> i < LABELLED ? List.of("a", "r1-1", LABEL) : List.of("a", "r1-1"),
            this::outcome);
    deployment.configure(QUEUE);
    deployment.startNodes(2);
    Thread.sleep(2_000);
    deployment.submit(QUEUE.path(JOB), job(TASKS));
    // The traffic has ended; jobs are asked for after this time.
    Thread.sleep(FINISH_MILLIS);
    long end = deployment.record.millis() + PATIENCE_MILLIS;
    long idleSince = -1;
    long longestIdleMillis = 0;
    while (deployment.record.millis() < end) {
      if (deployment.state(QUEUE.path(JOB)).equals("completed")) {
        break;
      }
      boolean idle = workers.stream().allMatch(worker -> worker.runningTasks().isEmpty());
      idleSince = !idle ? -1 : idleSince < 0 ? deployment.record.millis() : idleSince;
      if (idle) {
        longestIdleMillis =
            Math.max(longestIdleMillis, deployment.record.millis() - idleSince);
      }
      Thread.sleep(500);
    }
    if (longestIdleMillis < IDLE_MILLIS) {
      return null;
    }
    String state = deployment.state(QUEUE.path(JOB));
    deployment.submit(QUEUE.path(OTHER_JOB), job(1));
    Thread.sleep(3 * TASK_MILLIS);
    return ("job %s is %s: nothing of it has run for %d ms, while all workers are idle. Tasks that"
            + " have failed once: %d. Another job that needs the same label, sent afterwards: %s.")
        .formatted(
            JOB, state, longestIdleMillis, failedOn.size(),
            deployment.state(QUEUE.path(OTHER_JOB)));
  }

  private static String job(int tasks) {
    return "{\"spec\":\"count\",\"steps\":[{\"count\":%d,\"cpu\":5600,\"mem_mb\":8200,\"gpu\":1,"
            .formatted(tasks)
        + "\"estimate_ms\":1000,\"required_label\":\"" + LABEL + "\"}]}";
  }

  /** Lets one task on each labelled worker fail once, through its own fault. */
  private synchronized Worker.Outcome outcome(Worker.Run run) {
    boolean fails =
        deployment.trouble
            && run.task.startsWith(JOB)
            && !failedTasks.contains(run.task)
            && failedOn.add(run.worker.id);
    if (fails) {
      failedTasks.add(run.task);
    }
    return new Worker.Outcome(TASK_MILLIS, fails ? "failed" : "done");
  }
}
