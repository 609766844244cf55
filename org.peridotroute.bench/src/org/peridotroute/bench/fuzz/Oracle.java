package org.peridotroute.bench.fuzz;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.peridotroute.fold.Allocation;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.JobFold;
import org.peridotroute.fold.JobState;
import org.peridotroute.fold.Outcome;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;
import org.peridotroute.lib.VmId;
import org.peridotroute.standin.TaskRun;
import org.peridotroute.standin.WorkerStandIn;

/**
 * Checks the invariants by comparing the answers to callers with the tasks that ran on the workers.
 * Deliberately simple: it does not model leases, drivers or the planner. Used by one thread.
 */
final class Oracle {
  /**
   * How long some members of a gang may run without the others: one renewal interval, one lease
   * after it with the drift of the worker's clock, and a renewal that is still in flight.
   */
  static final long PARTIAL_BOUND_MILLIS =
      FuzzVm.GANG_TIMES.leaseMillis() * 2
          + FuzzVm.GANG_TIMES.renewMillis()
          + FuzzVm.GANG_TIMES.driftMarginMillis()
          + FuzzNetwork.MAX_DELAY_MILLIS;

  private final CallerHistory history;
  private final Collection<WorkerStandIn> workers;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<Long, Long> partialSinceMillis = new HashMap<>();
  private final Map<VmId, Long> configOffsets = new HashMap<>();
  private final Set<JobKey> checkedAnswers = new HashSet<>();
  private long step;

  Oracle(CallerHistory history, Collection<WorkerStandIn> workers) {
    this.history = history;
    this.workers = workers;
  }

  List<Violation> violations() {
    return violations;
  }

  void report(Invariant invariant, String detail) {
    violations.add(new Violation(invariant, step, detail));
  }

  void check(long stepNumber, JobState jobs, long nowMillis) {
    step = stepNumber;
    checkOutcomes(jobs);
    checkGangsWhole(nowMillis);
    JobFold.invariantViolations(jobs).forEach(fault -> report(Invariant.AT_MOST_ONCE, fault));
  }

  /** Checks the reported outcomes of ended jobs against the recorded runs. */
  private void checkOutcomes(JobState jobs) {
    List<TaskRun> runs = workers.stream().flatMap(worker -> worker.runs().stream()).toList();
    Map<JobKey, Set<Integer>> started = new HashMap<>();
    for (TaskRun run : runs) {
      JobSpec spec = history.spec(run.job());
      boolean first = started.computeIfAbsent(run.job(), key -> new HashSet<>()).add(run.member());
      if (!first && !spec.idempotent()) {
        report(Invariant.AT_MOST_ONCE, run.job() + " member " + run.member() + " ran twice");
      }
    }
    for (JobKey key : jobs.ended().values()) {
      Job job = jobs.jobs().get(key);
      if (job.outcome() == Outcome.NOT_RUN && started.containsKey(key)) {
        report(Invariant.NOT_RUN_IS_TRUE, key + " was reported as not run but ran");
      }
      if (job.outcome() == Outcome.SUCCEEDED && checkedAnswers.add(key)) {
        checkAnswer(job);
      }
    }
  }

  private void checkAnswer(Job job) {
    StringBuilder expected = new StringBuilder();
    String echo = job.spec().payload().replaceAll(".*echo=(\\S+).*", "$1");
    for (int i = 0; i < job.spec().shape().members(); i++) {
      expected.append("member ").append(i).append(": ").append(echo).append('\n');
    }
    if (!expected.toString().equals(job.answer().body())) {
      report(Invariant.OWN_WHOLE_ANSWER, job.key() + " got: " + job.answer().body());
    }
  }

  /** Checks that no gang runs with only some of its members for longer than the bound. */
  private void checkGangsWhole(long nowMillis) {
    Map<Long, Set<Integer>> running = new TreeMap<>();
    Map<Long, Integer> sizes = new HashMap<>();
    for (WorkerStandIn worker : workers) {
      for (TaskRun run : worker.running(nowMillis)) {
        running.computeIfAbsent(run.token(), token -> new HashSet<>()).add(run.member());
        sizes.put(run.token(), history.spec(run.job()).shape().members());
      }
    }
    Map<Long, Set<Integer>> startedMembers = startedMembers(nowMillis);
    partialSinceMillis.keySet().retainAll(running.keySet());
    running.forEach(
        (token, members) -> {
          boolean whole = startedMembers.getOrDefault(token, members).size() == sizes.get(token);
          if (whole) {
            partialSinceMillis.remove(token);
            return;
          }
          long sinceMillis = partialSinceMillis.computeIfAbsent(token, key -> nowMillis);
          if (nowMillis - sinceMillis > PARTIAL_BOUND_MILLIS) {
            report(Invariant.GANG_WHOLE, "token " + token + " runs with only members " + members);
            partialSinceMillis.put(token, nowMillis);
          }
        });
  }

  private Map<Long, Set<Integer>> startedMembers(long nowMillis) {
    Map<Long, Set<Integer>> startedMembers = new HashMap<>();
    for (WorkerStandIn worker : workers) {
      for (TaskRun run : worker.started(nowMillis)) {
        startedMembers.computeIfAbsent(run.token(), token -> new HashSet<>()).add(run.member());
      }
    }
    return startedMembers;
  }

  /** Checks that a VM's configuration never reverts, not even when the VM is replaced. */
  void checkConfig(FuzzVm vm) {
    if (!vm.isReady()) {
      return;
    }
    long offset = vm.config().offset();
    Long previous = configOffsets.put(vm.id(), offset);
    if (previous != null && offset < previous) {
      report(
          Invariant.CONFIG_NEVER_REVERTS,
          vm.id() + " reverted from offset " + previous + " to " + offset);
    }
  }

  /** Checks that two VMs have the same configuration. Called after all faults are cleared. */
  void checkSameConfig(FuzzVm vm, FuzzVm other) {
    if (!vm.config().organisations().equals(other.config().organisations())) {
      report(
          Invariant.CONFIG_NEVER_REVERTS,
          vm.id() + " and " + other.id() + " have different configurations");
    }
  }

  /**
   * Checks that every accepted job has ended and all accelerators of ended jobs are released.
   * Called after all faults are cleared and the cluster has settled.
   */
  void checkNothingLost(JobState jobs) {
    for (JobKey key : history.accepted().keySet()) {
      Job job = jobs.jobs().get(key);
      if (job == null || !job.isEnded()) {
        report(Invariant.NOTHING_LOST, key + " is " + (job == null ? "missing" : job));
      }
    }
    for (Allocation allocation : jobs.allocations().values()) {
      Job job = jobs.jobs().get(allocation.job());
      if (job == null || job.isEnded()) {
        report(
            Invariant.NOTHING_LOST, "accelerators of " + allocation.job() + " were never released");
      }
    }
  }
}
