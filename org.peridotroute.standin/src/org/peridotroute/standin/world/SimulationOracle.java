package org.peridotroute.standin.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;

/**
 * Watches workers and answers, and notes every broken promise: a task that runs twice, starts
 * before its turn or after it has succeeded, a worker over its room, work that nobody asked for.
 * Used by one thread.
 */
public final class SimulationOracle implements WorkerModel.Observer {
  /** Location a task runs. */
  private record Location(WorkerModel worker, int run) {
    @Override
    public String toString() {
      return worker.id() + " run " + run;
    }
  }

  private final Time time;
  private final Capacity room;
  private final long cancelMillis;
  private final Map<JobId, JobRequest> asked = new HashMap<>();
  private final Map<JobId, Long> cancelledAtMillis = new HashMap<>();
  private final Map<TaskId, List<Location>> running = new HashMap<>();
  private final Map<TaskId, Integer> failures = new HashMap<>();
  private final Set<TaskId> done = new HashSet<>();
  private final Set<TaskId> succeeded = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private final Map<RunEnd, Integer> ends = new HashMap<>();
  private int maxAttempts = Integer.MAX_VALUE;
  private int starts;
  private boolean late;

  /**
   * Creates an oracle.
   *
   * @param time virtual time
   * @param room room of each worker
   * @param cancelMillis time after a stored cancellation during which tasks may still be started
   */
  public SimulationOracle(Time time, Capacity room, long cancelMillis) {
    this.time = time;
    this.room = room;
    this.cancelMillis = cancelMillis;
  }

  /** Sets how often a task may fail. */
  public void setMaxAttempts(int value) {
    maxAttempts = value;
  }

  /** Says whether what happens now is an order carried out late, which no time bound covers. */
  public void setLate(boolean value) {
    late = value;
  }

  /** Notes that a job was handed in, accepted or not. */
  public void asked(JobId id, JobRequest request) {
    asked.put(id, request);
  }

  /** Notes that a cancellation was acknowledged. */
  public void cancelled(JobId id) {
    cancelledAtMillis.putIfAbsent(id, time.steadyMillis());
  }

  @Override
  public void began(WorkerModel worker, TaskId task, int run, Capacity held) {
    starts++;
    JobRequest request = asked.get(task.job());
    if (request == null) {
      note("unasked start of " + task);
      return;
    }
    if (done.contains(task)) {
      note(task + " run " + run + " starts on " + worker.id() + " after its success was stored");
    }
    List<Location> there = running.computeIfAbsent(task, key -> new ArrayList<>());
    if (!there.isEmpty()) {
      note(task + " run " + run + " starts on " + worker.id() + " beside " + there);
    }
    there.add(new Location(worker, run));
    if (!room.holds(worker.used())) {
      note(worker.id() + " is over its room with " + task);
    }
    if (failures.getOrDefault(task, 0) >= maxAttempts) {
      note(task + " starts after " + maxAttempts + " failures");
    }
    checkOrder(task, request);
    Long cancelled = cancelledAtMillis.get(task.job());
    if (!late && cancelled != null && time.steadyMillis() > cancelled + cancelMillis) {
      note(task + " starts long after its job was cancelled");
    }
  }

  private void checkOrder(TaskId task, JobRequest request) {
    for (int earlier : request.steps().get(task.step().step()).after()) {
      for (int i = 0; i < request.steps().get(earlier).count(); i++) {
        TaskId before =
            new TaskId(
                new org.peridotroute.scheduler.model.StepId(
                    task.job(), task.step().occurrence(), earlier),
                i);
        if (!succeeded.contains(before)) {
          note(task + " starts before " + before + " has succeeded");
        }
      }
    }
  }

  @Override
  public void ended(WorkerModel worker, TaskId task, int run, RunEnd end) {
    ends.merge(end, 1, Integer::sum);
    List<Location> there = running.getOrDefault(task, new ArrayList<>());
    there.removeIf(where -> where.worker() == worker && where.run() == run);
    if (end == RunEnd.DONE) {
      succeeded.add(task);
    }
  }

  @Override
  public void acknowledged(WorkerModel worker, TaskId task, int run, RunEnd end) {
    if (end == RunEnd.DONE) {
      done.add(task);
    }
    if (end == RunEnd.FAILED) {
      failures.merge(task, 1, Integer::sum);
    }
  }

  /** Notes a broken promise. */
  public void note(String violation) {
    violations.add("at " + time.steadyMillis() + " ms: " + violation);
  }

  /** Returns the broken promises. */
  public List<String> violations() {
    return List.copyOf(violations);
  }

  /** Returns how many runs ended in which way. */
  public Map<RunEnd, Integer> ends() {
    return Map.copyOf(ends);
  }

  /** Returns the number of starts. */
  public int starts() {
    return starts;
  }
}
