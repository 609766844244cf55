package review;

import java.util.ArrayList;
import java.util.List;

/** A worker is cut off for a few seconds, in which more than 500 short tasks end on it. */
final class ManyEnds extends Case {
  private static final int JOBS = 15;
  private static final int WIDTH = 40;
  private static final long TASK_MILLIS = 8_000;

  /** Longest cut of workers in the site file. */
  private static final long MAX_CUT_MILLIS = 5_500;

  public static void main(String[] arguments) {
    run(new ManyEnds(), arguments);
  }

  @Override
  String play() throws Exception {
    Deployment d =
        new Deployment(record, 3, 7, 8, run -> new Worker.Outcome(TASK_MILLIS, "done"));
    d.start();
    for (int i = 0; i < JOBS; i++) {
      d.submit(
          d.other(), "/read/", "%016x".formatted(0x9100 + i), "small tasks",
          "{\"count\":%d,\"cpu\":100,\"mem_mb\":100,\"estimate_ms\":%d}"
              .formatted(WIDTH, TASK_MILLIS));
    }
    d.await("all tasks start", 7_000, () -> d.runs.size() == JOBS * WIDTH);
    long lastStart = d.runs.stream().mapToLong(run -> run.fromMillis).max().orElseThrow();
    long firstStart = d.runs.stream().mapToLong(run -> run.fromMillis).min().orElseThrow();
    Worker worker = d.runs.get(0).worker;
    long onWorker = d.runs.stream().filter(run -> run.worker == worker).count();
    record.line(
        "%d of %d tasks run on %s; they started within %d ms"
            .formatted(onWorker, d.runs.size(), worker.name(), lastStart - firstStart));
    Thread.sleep(Math.max(0, firstStart + TASK_MILLIS - 300 - record.millis()));
    long cutAt = record.millis();
    if (trouble) {
      worker.cut(true);
    }
    d.await(
        "the tasks end", 15_000, () -> d.runs.stream().noneMatch(run -> run.number == 1 && run.isRunning()));
    if (trouble) {
      worker.cut(false);
      record.line("the cut lasted " + (record.millis() - cutAt) + " ms");
      if (record.millis() - cutAt > MAX_CUT_MILLIS) {
        throw new IllegalStateException("the cut was longer than the site file allows");
      }
    }
    Thread.sleep(TASK_MILLIS + 6_000);
    List<Worker.Run> all = new ArrayList<>(d.runs);
    long twice = 0;
    String example = "";
    for (Worker.Run again : all) {
      for (Worker.Run run : all) {
        boolean done =
            run != again && run.task.equals(again.task) && run.how.equals("done") && run.noted;
        if (done && again.fromMillis > run.toMillis) {
          twice++;
          example =
              "run %d of %s began on %s %d ms after run %d had ended `done`"
                  .formatted(
                      again.number, again.task, again.worker.name(),
                      again.fromMillis - run.toMillis, run.number);
        }
      }
    }
    return twice == 0
        ? null
        : "%d starts of tasks of which a run had ended `done`, an end that is taken note of; for example %s"
            .formatted(twice, example);
  }
}
