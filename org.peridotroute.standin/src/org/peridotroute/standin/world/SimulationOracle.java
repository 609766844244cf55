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
 * Observes the workers and records every violated invariant: a task that runs twice at a time,
 * starts before the steps it depends on or after its success was stored, starts although its job
 * was never submitted or was cancelled, or starts after too many failures or crashes of workers, a
 * start in a closed data centre, a start on a worker of a service to which no configuration has
 * sent the queue, and a worker whose tasks exceed its capacity. Used by one thread.
 */
public final class SimulationOracle implements WorkerModel.Observer {
  /** A run of a task and the worker that executes it. */
  private record Location(WorkerModel worker, int run) {
    @Override
    public String toString() {
      return worker.id() + " run " + run;
    }
  }

  /** Crashes after which only a few more starts are allowed. */
  private static final int CRASHES_BEFORE_LIMIT = 3;

  /** Starts that are allowed after that number of crashes. */
  private static final int MAX_STARTS_AFTER_CRASHES = 2;

  /** Time after a worker has published a smaller capacity during which the former one counts. */
  private static final long CAPACITY_GRACE_MILLIS = 5_500;

  private record PublishedCapacity(long sinceMillis, Capacity capacity) {}

  private final Time time;
  private final Capacity capacity;
  private final long cancelMillis;
  private final long closureMillis;
  private final Map<String, Long> closedAtMillis = new HashMap<>();
  private final Map<JobId, JobRequest> requests = new HashMap<>();
  private final Map<JobId, Long> cancelledAtMillis = new HashMap<>();
  private final Map<TaskId, List<Location>> running = new HashMap<>();
  private final Map<TaskId, Integer> failures = new HashMap<>();
  private final Set<TaskId> acknowledgedSuccesses = new HashSet<>();
  private final Set<TaskId> succeeded = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private final Map<RunEnd, Integer> endCounts = new HashMap<>();
  private final Set<TaskId> crashingTasks = new HashSet<>();
  private final Map<TaskId, Integer> crashes = new HashMap<>();
  private final Map<TaskId, Integer> startsAfterCrashes = new HashMap<>();
  private final Map<String, List<PublishedCapacity>> publishedCapacities = new HashMap<>();
  private final Map<String, String> serviceByWorker = new HashMap<>();
  private final Map<String, Set<String>> servicesByQueue = new HashMap<>();
  private final Map<JobId, String> queueByJob = new HashMap<>();
  private int maxAttempts = Integer.MAX_VALUE;
  private final Map<JobId, Integer> startsByJob = new HashMap<>();
  private int startCount;
  private boolean lateCall;

  /**
   * Creates an oracle.
   *
   * @param time virtual time
   * @param capacity capacity of each worker
   * @param cancelMillis time after an acknowledged cancellation during which tasks may still start
   * @param closureMillis time after the closing of a data centre during which tasks may still start
   */
  public SimulationOracle(Time time, Capacity capacity, long cancelMillis, long closureMillis) {
    this.time = time;
    this.capacity = capacity;
    this.cancelMillis = cancelMillis;
    this.closureMillis = closureMillis;
  }

  /** Sets the number of failures after which a task must not start again. */
  public void setMaxAttempts(int value) {
    maxAttempts = value;
  }

  /** Sets whether events come from a call that is executed late, which no time bound covers. */
  public void setLateCall(boolean value) {
    lateCall = value;
  }

  /** Records that a job was submitted, accepted or not. */
  public void onSubmitted(JobId id, JobRequest request) {
    requests.put(id, request);
  }

  /** Records the queue of a job, by which the services of its workers are checked. */
  public void onQueued(JobId id, String queue) {
    queueByJob.put(id, queue);
  }

  /** Records that a configuration sends a queue to a service. */
  public void onQueue(String queue, String service) {
    servicesByQueue.computeIfAbsent(queue, key -> new HashSet<>()).add(service);
  }

  /** Records the service of a worker. */
  public void onWorker(String worker, String service) {
    serviceByWorker.put(worker, service);
  }

  private void checkService(WorkerModel worker, TaskId task) {
    String queue = queueByJob.get(task.job());
    String service = serviceByWorker.get(worker.id());
    if (queue != null
        && service != null
        && !servicesByQueue.getOrDefault(queue, Set.of()).contains(service)) {
      report(task + " of " + queue + " starts on " + worker.id() + " of service " + service);
    }
  }

  /** Records that a cancellation was acknowledged. */
  public void onCancelled(JobId id) {
    cancelledAtMillis.putIfAbsent(id, time.steadyMillis());
  }

  @Override
  public void onStarted(WorkerModel worker, TaskId task, int run, Capacity held) {
    startCount++;
    startsByJob.merge(task.job(), 1, Integer::sum);
    JobRequest request = requests.get(task.job());
    if (request == null) {
      report(task + " starts although its job was never submitted");
      return;
    }
    if (acknowledgedSuccesses.contains(task)) {
      report(task + " run " + run + " starts on " + worker.id() + " after its success was stored");
    }
    List<Location> locations = running.computeIfAbsent(task, key -> new ArrayList<>());
    if (!locations.isEmpty()) {
      report(
          task
              + " run "
              + run
              + " starts on "
              + worker.id()
              + " while it already runs on "
              + locations);
    }
    locations.add(new Location(worker, run));
    if (!maxCapacity(worker.id()).fits(worker.used())) {
      report(worker.id() + " exceeds its capacity with " + task);
    }
    checkCrashes(worker, task, run);
    checkClosure(worker, task);
    checkService(worker, task);
    if (failures.getOrDefault(task, 0) >= maxAttempts) {
      report(task + " starts after " + maxAttempts + " failures");
    }
    checkDependencies(task, request);
    Long cancelledMillis = cancelledAtMillis.get(task.job());
    if (!lateCall
        && cancelledMillis != null
        && time.steadyMillis() > cancelledMillis + cancelMillis) {
      report(task + " starts more than " + cancelMillis + " ms after its job was cancelled");
    }
  }

  /** Records a call to a program that is listed, but is no worker of a configured service. */
  void onForeignCall(String id) {
    report(id + " is called although no configuration names its service");
  }

  /** Returns the number of runs of a job that go on. */
  public int runningCount(JobId id) {
    return running.entrySet().stream()
        .filter(entry -> entry.getKey().job().equals(id))
        .mapToInt(entry -> entry.getValue().size())
        .sum();
  }

  /** Records that the data centre of a worker was closed for new work, or opened again. */
  public void onClosed(String worker, boolean closed) {
    if (closed) {
      closedAtMillis.put(worker, time.steadyMillis());
    } else {
      closedAtMillis.remove(worker);
    }
  }

  private void checkClosure(WorkerModel worker, TaskId task) {
    Long closedMillis = closedAtMillis.get(worker.id());
    if (!lateCall && closedMillis != null && time.steadyMillis() > closedMillis + closureMillis) {
      report(task + " starts on " + worker.id() + ", whose data centre is closed");
    }
  }

  /** Declares that a task crashes every worker that starts it. */
  public void onCrashingTask(TaskId task) {
    crashingTasks.add(task);
  }

  /** Records that a worker has published another capacity than the initial one. */
  public void onCapacityPublished(String worker, Capacity published) {
    publishedCapacities
        .computeIfAbsent(worker, key -> new ArrayList<>())
        .add(new PublishedCapacity(time.steadyMillis(), published));
  }

  /** Returns the greatest capacity of a worker, in each dimension, that still counts. */
  private Capacity maxCapacity(String worker) {
    Capacity inForce = capacity;
    Capacity max = Capacity.NONE;
    long sinceMillis = time.steadyMillis() - CAPACITY_GRACE_MILLIS;
    for (PublishedCapacity published : publishedCapacities.getOrDefault(worker, List.of())) {
      max = published.sinceMillis() >= sinceMillis ? max.max(inForce) : max;
      inForce = published.capacity();
    }
    return max.max(inForce);
  }

  private void checkCrashes(WorkerModel worker, TaskId task, int run) {
    if (crashes.getOrDefault(task, 0) < CRASHES_BEFORE_LIMIT) {
      return;
    }
    if (startsAfterCrashes.merge(task, 1, Integer::sum) > MAX_STARTS_AFTER_CRASHES) {
      report(
          task
              + " run "
              + run
              + " starts on "
              + worker.id()
              + " after it has crashed "
              + crashes.get(task)
              + " workers");
    }
  }

  @Override
  public void onCrashed(WorkerModel worker) {
    running.forEach(
        (task, locations) -> {
          boolean under = locations.stream().anyMatch(location -> location.worker() == worker);
          if (under && crashingTasks.contains(task)) {
            crashes.merge(task, 1, Integer::sum);
          }
        });
  }

  private void checkDependencies(TaskId task, JobRequest request) {
    for (int dependency : request.steps().get(task.step().step()).after()) {
      for (int i = 0; i < request.steps().get(dependency).count(); i++) {
        TaskId before =
            new TaskId(
                new org.peridotroute.scheduler.model.StepId(
                    task.job(), task.step().occurrence(), dependency),
                i);
        if (!succeeded.contains(before)) {
          report(task + " starts before " + before + " has succeeded");
        }
      }
    }
  }

  @Override
  public void onEnded(WorkerModel worker, TaskId task, int run, RunEnd end) {
    endCounts.merge(end, 1, Integer::sum);
    List<Location> locations = running.getOrDefault(task, new ArrayList<>());
    locations.removeIf(location -> location.worker() == worker && location.run() == run);
    if (end == RunEnd.DONE) {
      succeeded.add(task);
    }
  }

  @Override
  public void onAcknowledged(WorkerModel worker, TaskId task, int run, RunEnd end) {
    if (end == RunEnd.DONE) {
      acknowledgedSuccesses.add(task);
    }
    if (end == RunEnd.FAILED) {
      failures.merge(task, 1, Integer::sum);
    }
  }

  /** Records a violation at the current time. */
  public void report(String violation) {
    violations.add("at " + time.steadyMillis() + " ms: " + violation);
  }

  /** Returns the violations, the oldest first. */
  public List<String> violations() {
    return List.copyOf(violations);
  }

  /** Returns the number of ended runs by kind of end. */
  public Map<RunEnd, Integer> ends() {
    return Map.copyOf(endCounts);
  }

  /** Returns the number of task starts of a job. */
  public int starts(JobId id) {
    return startsByJob.getOrDefault(id, 0);
  }

  /** Returns the number of task starts. */
  public int starts() {
    return startCount;
  }
}
