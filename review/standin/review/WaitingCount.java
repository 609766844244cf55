package review;

import java.util.ArrayList;
import java.util.List;

/** One of seven workers is unhealthy and refuses starts while the others are full. */
final class WaitingCount extends Case {
  private static final int WORKERS = 7;
  private static final int JOBS = 8;

  /** Longest time for which workers are grey in the site file. */
  private static final long GREY_MILLIS = 6_500;

  public static void main(String[] arguments) {
    run(new WaitingCount(), arguments);
  }

  @Override
  String play() throws Exception {
    Deployment d =
        new Deployment(
            record, 3, WORKERS, 8, run -> new Worker.Outcome(40_000, "done"));
    d.start();
    String eight = "{\"count\":1,\"cpu\":26000,\"mem_mb\":38000,\"gpu\":8,\"estimate_ms\":40000,\"checkpoints\":true}";
    for (int i = 1; i < WORKERS; i++) {
      d.submit(d.other(), "/audit/", "%016x".formatted(0xe00 + i), "fills a worker", eight);
    }
    d.await("six workers are full", 8_000, () -> d.runs.size() == WORKERS - 1);
    Thread.sleep(500);
    Worker free =
        d.workers.stream()
            .filter(worker -> d.runs.stream().noneMatch(run -> run.worker == worker))
            .findFirst()
            .orElseThrow();
    if (trouble) {
      free.refuseStarts(true);
    }
    long greyAt = record.millis();
    List<String> jobs = new ArrayList<>();
    Deployment.Vm other = d.other();
    for (int i = 0; i < JOBS; i++) {
      String id = "%016x".formatted(0xe100 + i);
      d.submit(
          other, "/read/", id, "small",
          "{\"count\":1,\"cpu\":5600,\"mem_mb\":8200,\"gpu\":1,\"estimate_ms\":40000}");
      jobs.add(id);
    }
    long acceptedAt = record.millis();
    // All were accepted over visible_ms + 2 s before.
    Thread.sleep(Math.max(0, acceptedAt + Deployment.VISIBLE_MILLIS + 2_300 - record.millis()));
    String broken = null;
    for (int i = 0; i < 2; i++) {
      for (Deployment.Vm vm : d.vms) {
        long notBegunBefore = jobs.stream().filter(job -> d.runsOf(job).isEmpty()).count();
        long told = Json.number(Json.object(d.call("GET", vm, "/read/", null).text()), "waiting", -1);
        long notBegun = jobs.stream().filter(job -> d.runsOf(job).isEmpty()).count();
        record.line("jobs that have not begun: " + notBegun + ", told by " + vm.name + ": " + told);
        if (notBegun == notBegunBefore && notBegun > 0 && 2 * told < notBegun) {
          broken =
              "%s gives %d jobs as waiting, while %d accepted jobs have not begun"
                  .formatted(vm.name, told, notBegun);
        }
      }
      Thread.sleep(300);
    }
    Thread.sleep(Math.max(0, greyAt + GREY_MILLIS - record.millis()));
    if (trouble) {
      free.refuseStarts(false);
    }
    return broken;
  }
}
