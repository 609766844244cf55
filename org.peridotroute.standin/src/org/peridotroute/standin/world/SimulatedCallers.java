package org.peridotroute.standin.world;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.node.RequestOutcome;
import org.peridotroute.scheduler.node.SchedulerVm;
import org.peridotroute.scheduler.node.SubmitResult;

/** The callers of a simulated cluster, who submit and cancel jobs. Used by one thread. */
public final class SimulatedCallers {
  private static final long WAIT_MILLIS = 2_000;
  private static final long RETRY_MILLIS = 500;

  private final VirtualTime time;
  private final Random random;
  private final Map<String, SimulatedVm> vms;
  private final SimulatedTasks tasks;
  private final SimulationOracle oracle;
  private final Set<JobId> accepted = new HashSet<>();
  private boolean retrying = true;

  SimulatedCallers(
      VirtualTime time,
      Random random,
      Map<String, SimulatedVm> vms,
      SimulatedTasks tasks,
      SimulationOracle oracle) {
    this.time = time;
    this.random = random;
    this.vms = vms;
    this.tasks = tasks;
    this.oracle = oracle;
  }

  /** Stops all retries of submissions. */
  public void stopRetries() {
    retrying = false;
  }

  /** Submits a job to one VM, without retries. */
  public CompletableFuture<RequestOutcome> submitAt(String name, JobId id, JobRequest request) {
    onSubmitted(id, request, 0);
    SchedulerVm vm = vms.get(name).scheduler;
    Submission submission =
        SimulatedRecords.submission(id, request, 0, vm.configuration(), time.wallMillis());
    return vm.submit(submission, WAIT_MILLIS).thenApply(SubmitResult::outcome);
  }

  /** Cancels a job at one VM, without retries. */
  public CompletableFuture<RequestOutcome> cancelAt(String name, JobId id) {
    return vms.get(name)
        .scheduler
        .cancel(id, WAIT_MILLIS)
        .thenApply(
            outcome -> {
              if (isAcknowledged(outcome)) {
                oracle.onCancelled(id);
              }
              return outcome;
            });
  }

  void submit(JobId id, JobRequest request, int priority) {
    onSubmitted(id, request, priority);
    trySubmit(id, request, priority, time.wallMillis());
  }

  void cancel(JobId id) {
    SimulatedVm vm = randomLiveVm();
    if (vm == null) {
      time.after(RETRY_MILLIS, () -> cancel(id));
      return;
    }
    var unused =
        cancelAt(vm.name, id)
            .thenAccept(
                outcome -> {
                  if (!isAcknowledged(outcome)) {
                    time.after(RETRY_MILLIS, () -> cancel(id));
                  }
                });
  }

  Set<JobId> accepted() {
    return Set.copyOf(accepted);
  }

  private void onSubmitted(JobId id, JobRequest request, int priority) {
    tasks.addJob(id, request);
    oracle.onSubmitted(id, request);
    oracle.onQueued(id, SimulatedRecords.queueName(priority));
  }

  private void trySubmit(JobId id, JobRequest request, int priority, long wallMillis) {
    if (!retrying) {
      return;
    }
    SimulatedVm vm = randomLiveVm();
    boolean configured = vm != null && vm.scheduler.configuration() != null;
    if (!configured) {
      time.after(RETRY_MILLIS, () -> trySubmit(id, request, priority, wallMillis));
      return;
    }
    Submission submission =
        SimulatedRecords.submission(
            id, request, priority, vm.scheduler.configuration(), wallMillis);
    var unused =
        vm.scheduler
            .submit(submission, WAIT_MILLIS)
            .thenAccept(
                result -> {
                  if (result.outcome() == RequestOutcome.DONE) {
                    accepted.add(id);
                  } else {
                    time.after(RETRY_MILLIS, () -> trySubmit(id, request, priority, wallMillis));
                  }
                });
  }

  private SimulatedVm randomLiveVm() {
    List<SimulatedVm> live =
        vms.values().stream().filter(vm -> vm.scheduler != null && !vm.paused).toList();
    return live.isEmpty() ? null : live.get(random.nextInt(live.size()));
  }

  private static boolean isAcknowledged(RequestOutcome outcome) {
    return outcome == RequestOutcome.DONE || outcome == RequestOutcome.NO_SUCH_JOB;
  }
}
