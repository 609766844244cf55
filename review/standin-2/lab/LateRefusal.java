package lab;

import java.util.List;

/**
 * Case: two workers crash and start again under their ids, each at the address that the other had,
 * and one answer is late. No task may run twice at the same time.
 */
final class LateRefusal {
  private static final Deployment.Queue QUEUE = new Deployment.Queue("audits", 1, 3, 3, 1_200);
  private static final int WORKERS = 16;
  private static final long BETWEEN_JOBS_MILLIS = 300;
  private static final long MIN_TASK_MILLIS = 4_000;
  private static final long TASK_SPREAD_MILLIS = 4_000;
  private static final long CRASH_AFTER_MILLIS = 14_000;
  private static final long DOWN_MILLIS = 3_000;
  private static final long BETWEEN_STARTS_MILLIS = 10;
  private static final long FIRST_ANSWER_MILLIS = 600;
  private static final long OBSERVED_MILLIS = 8_000;
  private static final int ROUNDS = 3;

  private LateRefusal() {}

  public static void main(String[] arguments) {
    Case.run(arguments, Site.KHET_TILL, LateRefusal::run);
  }

  private static String run(Deployment deployment) throws Exception {
    List<Worker> workers =
        deployment.startWorkers(
            WORKERS, i -> List.of("a", "r1-1"), run -> new Worker.Outcome(millis(run), "done"));
    deployment.configure(QUEUE);
    deployment.startNodes(2);
    Thread.sleep(2_000);
    Thread traffic = new Thread(() -> sendJobs(deployment));
    traffic.setDaemon(true);
    traffic.start();
    Thread.sleep(CRASH_AFTER_MILLIS);
    for (int round = 0; round < ROUNDS && deployment.runs.overlaps().isEmpty(); round++) {
      exchange(deployment, workers.get(2 * round), workers.get(2 * round + 1));
      Thread.sleep(OBSERVED_MILLIS);
    }
    List<String> overlaps = deployment.runs.overlaps();
    return overlaps.isEmpty()
        ? null
        : "%d runs started while another run of their task was at work, the first: %s"
            .formatted(overlaps.size(), overlaps.get(0));
  }

  /** Lets two workers crash and come back; with the trouble at each other's address. */
  private static void exchange(Deployment deployment, Worker one, Worker other)
      throws InterruptedException {
    one.crash();
    other.crash();
    Thread.sleep(DOWN_MILLIS);
    if (deployment.trouble) {
      int port = one.port();
      one.moveTo(other.port());
      other.moveTo(port);
    }
    other.setColdStart(FIRST_ANSWER_MILLIS, 0);
    other.start();
    Thread.sleep(BETWEEN_STARTS_MILLIS);
    one.start();
  }

  private static long millis(Worker.Run run) {
    return MIN_TASK_MILLIS + Math.floorMod(run.task.hashCode() * 31L, TASK_SPREAD_MILLIS);
  }

  private static void sendJobs(Deployment deployment) {
    try {
      for (int i = 0; ; i++) {
        deployment.submit(
            QUEUE.path("%016x".formatted(0x5c0e7a21d94b3600L + i)),
            "{\"spec\":\"audit\",\"steps\":[{\"count\":1,\"cpu\":26000,\"mem_mb\":38000,\"gpu\":8,"
                + "\"estimate_ms\":5000}]}");
        Thread.sleep(BETWEEN_JOBS_MILLIS);
      }
    } catch (InterruptedException | Case.NotRun e) {
      deployment.record.line("the traffic ends: %s", e);
    }
  }
}
