package lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The runs on all workers that are up. Finds tasks that run twice at the same time. Thread-safe. */
final class Runs {
  private final Record record;
  private final Map<String, List<Worker.Run>> byTask = new HashMap<>();
  private final List<String> overlaps = new ArrayList<>();

  Runs(Record record) {
    this.record = record;
  }

  synchronized void onStart(Worker.Run run) {
    record.line("worker %s: %s run %d starts", run.worker.id, run.task, run.number);
    List<Worker.Run> present = byTask.computeIfAbsent(run.task, key -> new ArrayList<>());
    for (Worker.Run other : present) {
      String overlap =
          "task %s: run %d starts on %s while run %d is at work on %s"
              .formatted(run.task, run.number, run.worker.id, other.number, other.worker.id);
      record.line("TWICE %s", overlap);
      overlaps.add(overlap);
    }
    present.add(run);
  }

  /** Records the end of a run, also one that was lost with its worker. */
  synchronized void onEnd(Worker.Run run, String how) {
    record.line("worker %s: %s run %d ends %s", run.worker.id, run.task, run.number, how);
    byTask.getOrDefault(run.task, List.of()).remove(run);
  }

  /** Returns the runs that have started while another run of their task was at work. */
  synchronized List<String> overlaps() {
    return List.copyOf(overlaps);
  }
}
