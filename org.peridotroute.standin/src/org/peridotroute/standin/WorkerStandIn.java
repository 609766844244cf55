package org.peridotroute.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.control.TaskCommand;
import org.peridotroute.control.TaskReport;
import org.peridotroute.control.TaskState;
import org.peridotroute.lib.Answer;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.WorkerInfo;

/**
 * In-memory worker that runs scripted tasks under leases, with injectable faults. Callers pass the
 * current time to each method, so that it works on a virtual clock too. Thread-safe.
 */
public final class WorkerStandIn {
  private static final int MAX_RUNS_KEPT = 10_000;

  private final WorkerInfo info;
  private final Map<TaskId, Task> tasks = new HashMap<>();
  private final Map<Integer, Long> fences = new HashMap<>();
  private final List<TaskRun> runs = new ArrayList<>();
  private boolean failingAll;
  private long leaseCount;

  /** Identifies one attempt of a gang member on this worker. */
  private record TaskId(JobKey job, int member, long token) {}

  /** A prepared or started task that holds accelerators under a lease. */
  private static final class Task {
    private final String lease;
    private final List<Integer> accelerators;
    private final TaskScript script;
    private long expiresMillis;
    private long startedMillis = -1;

    Task(String lease, List<Integer> accelerators, TaskScript script) {
      this.lease = lease;
      this.accelerators = accelerators;
      this.script = script;
    }
  }

  /**
   * Creates a worker without tasks.
   *
   * @param info description of the worker
   */
  public WorkerStandIn(WorkerInfo info) {
    this.info = info;
  }

  /** Returns the worker's description. */
  public WorkerInfo info() {
    return info;
  }

  /**
   * Executes a command.
   *
   * @param command the command
   * @param nowMillis current time
   * @return the state of the task after the command
   */
  public synchronized TaskReport handle(TaskCommand command, long nowMillis) {
    expireLeases(nowMillis);
    TaskId id = new TaskId(command.job(), command.member(), command.token());
    return switch (command.action()) {
      case PREPARE -> prepare(id, command, nowMillis);
      case START -> start(id, command, nowMillis);
      case RENEW -> renew(id, command, nowMillis);
      case RELEASE -> release(id, command);
    };
  }

  /**
   * Sets whether every started task fails at once.
   *
   * @param value whether tasks fail
   */
  public synchronized void setFailingAll(boolean value) {
    failingAll = value;
  }

  /** Drops every task and lease, as a restart does. Fences and recorded runs stay. */
  public synchronized void restart() {
    tasks.clear();
  }

  /** Returns the first 10,000 starts, the oldest first. */
  public synchronized List<TaskRun> runs() {
    return List.copyOf(runs);
  }

  /**
   * Returns the tasks that are running.
   *
   * @param nowMillis current time
   * @return the running tasks
   */
  public synchronized List<TaskRun> running(long nowMillis) {
    return started(nowMillis, false);
  }

  /**
   * Returns the tasks that are running or have ended while their lease is still held.
   *
   * @param nowMillis current time
   * @return the started tasks
   */
  public synchronized List<TaskRun> started(long nowMillis) {
    return started(nowMillis, true);
  }

  private List<TaskRun> started(long nowMillis, boolean includeEnded) {
    expireLeases(nowMillis);
    List<TaskRun> started = new ArrayList<>();
    tasks.forEach(
        (id, task) -> {
          if (task.startedMillis >= 0 && (includeEnded || !hasEnded(task, nowMillis))) {
            started.add(new TaskRun(id.job(), id.member(), id.token(), task.startedMillis));
          }
        });
    return started;
  }

  private void expireLeases(long nowMillis) {
    tasks.values().removeIf(task -> task.expiresMillis <= nowMillis);
  }

  private TaskReport prepare(TaskId id, TaskCommand command, long nowMillis) {
    Task existing = tasks.get(id);
    if (existing != null) {
      existing.expiresMillis = nowMillis + command.leaseMillis();
      return report(id, existing, command, nowMillis);
    }
    for (int accelerator : command.accelerators()) {
      if (accelerator < 0 || accelerator >= info.accelerators()) {
        return refuse(command, "no accelerator " + accelerator);
      }
      if (command.token() < fences.getOrDefault(accelerator, 0L)) {
        return refuse(command, "accelerator " + accelerator + " is held by a higher token");
      }
    }
    fence(command.accelerators(), command.token());
    tasks.values().removeIf(task -> overlaps(task, command.accelerators()));
    Task task = new Task(newLease(), command.accelerators(), TaskScript.parse(command.payload()));
    task.expiresMillis = nowMillis + command.leaseMillis();
    tasks.put(id, task);
    return report(id, task, command, nowMillis);
  }

  private String newLease() {
    return info.id() + "." + ++leaseCount;
  }

  /** Returns the task if the command carries its lease, else null. */
  private Task findHeld(TaskId id, TaskCommand command) {
    Task task = tasks.get(id);
    boolean isHolder = task != null && task.lease.equals(command.lease());
    return isHolder ? task : null;
  }

  private static boolean overlaps(Task task, List<Integer> accelerators) {
    return task.accelerators.stream().anyMatch(accelerators::contains);
  }

  private void fence(List<Integer> accelerators, long token) {
    accelerators.forEach(accelerator -> fences.merge(accelerator, token, Math::max));
  }

  private TaskReport start(TaskId id, TaskCommand command, long nowMillis) {
    Task task = findHeld(id, command);
    if (task == null) {
      return TaskReport.of(TaskState.NOT_HELD, command);
    }
    task.expiresMillis = nowMillis + command.leaseMillis();
    if (task.startedMillis < 0) {
      task.startedMillis = nowMillis;
      if (runs.size() < MAX_RUNS_KEPT) {
        runs.add(new TaskRun(id.job(), id.member(), id.token(), nowMillis));
      }
    }
    return report(id, task, command, nowMillis);
  }

  private TaskReport renew(TaskId id, TaskCommand command, long nowMillis) {
    Task task = findHeld(id, command);
    if (task == null) {
      return TaskReport.of(TaskState.NOT_HELD, command);
    }
    task.expiresMillis = nowMillis + command.leaseMillis();
    return report(id, task, command, nowMillis);
  }

  /**
   * Drops the task and fences its accelerators above its token, so that a delayed command of the
   * token cannot prepare the task again.
   */
  private TaskReport release(TaskId id, TaskCommand command) {
    tasks.remove(id);
    fence(command.accelerators(), command.token() + 1);
    return TaskReport.of(TaskState.RELEASED, command);
  }

  private TaskReport report(TaskId id, Task task, TaskCommand command, long nowMillis) {
    if (task.startedMillis < 0) {
      return new TaskReport(TaskState.PREPARED, id.token(), id.member(), task.lease, null, null);
    }
    if (!hasEnded(task, nowMillis)) {
      return TaskReport.of(TaskState.RUNNING, command);
    }
    if (failingAll || task.script.failingMember() == id.member()) {
      return new TaskReport(
          TaskState.FAILED, id.token(), id.member(), null, null, "the task failed on " + info.id());
    }
    Answer output = Answer.of("member " + id.member() + ": " + task.script.echo());
    return new TaskReport(TaskState.SUCCEEDED, id.token(), id.member(), null, output, null);
  }

  private boolean hasEnded(Task task, long nowMillis) {
    return failingAll || nowMillis - task.startedMillis >= task.script.runMillis();
  }

  private static TaskReport refuse(TaskCommand command, String reason) {
    return new TaskReport(TaskState.REFUSED, command.token(), command.member(), null, null, reason);
  }
}
