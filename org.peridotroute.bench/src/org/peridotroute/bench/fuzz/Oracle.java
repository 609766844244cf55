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
 * Compares what callers are told with what really ran on the workers. Simple on purpose: it knows
 * nothing of leases, drivers or the planner. Used by one thread.
 */
final class Oracle {
  /**
   * How long some members of a gang may run without the others: a round of renewal, a lease from
   * there with the worker's clock, and a renewal that is still on its way.
   */
  static final long PARTIAL_BOUND_MILLIS =
      FuzzVm.GANG_TIMES.leaseMillis() * 2
          + FuzzVm.GANG_TIMES.renewMillis()
          + FuzzVm.GANG_TIMES.driftMarginMillis()
          + FuzzNetwork.MAX_DELAY_MILLIS;

  private final CallerHistory caller;
  private final Collection<WorkerStandIn> workers;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<Long, Long> partialSinceMillis = new HashMap<>();
  private final Map<VmId, Long> configRevisions = new HashMap<>();
  private final Set<JobKey> judged = new HashSet<>();
  private long step;

  Oracle(CallerHistory caller, Collection<WorkerStandIn> workers) {
    this.caller = caller;
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
    checkRuns(jobs);
    checkGangs(nowMillis);
    JobFold.faults(jobs).forEach(fault -> report(Invariant.AT_MOST_ONCE, fault));
  }

  /** Checks jobs that have ended: what was told against what ran. */
  private void checkRuns(JobState jobs) {
    List<TaskRun> runs = workers.stream().flatMap(worker -> worker.runs().stream()).toList();
    Map<JobKey, Set<Integer>> started = new HashMap<>();
    for (TaskRun run : runs) {
      JobSpec spec = caller.spec(run.job());
      boolean first = started.computeIfAbsent(run.job(), key -> new HashSet<>()).add(run.member());
      if (!first && !spec.idempotent()) {
        report(Invariant.AT_MOST_ONCE, run.job() + " member " + run.member() + " ran twice");
      }
    }
    for (JobKey key : jobs.ended().values()) {
      Job job = jobs.jobs().get(key);
      if (job.outcome() == Outcome.NOT_RUN && started.containsKey(key)) {
        report(Invariant.NOT_RUN_IS_TRUE, key + " was told as not run, and ran");
      }
      if (job.outcome() == Outcome.SUCCEEDED && judged.add(key)) {
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

  /** Checks that no gang runs in part for longer than the bound. */
  private void checkGangs(long nowMillis) {
    Map<Long, Set<Integer>> running = new TreeMap<>();
    Map<Long, Integer> sizes = new HashMap<>();
    for (WorkerStandIn worker : workers) {
      for (TaskRun run : worker.running(nowMillis)) {
        running.computeIfAbsent(run.token(), token -> new HashSet<>()).add(run.member());
        sizes.put(run.token(), caller.spec(run.job()).shape().members());
      }
    }
    Map<Long, Set<Integer>> alive = aliveMembers(nowMillis);
    partialSinceMillis.keySet().retainAll(running.keySet());
    running.forEach(
        (token, members) -> {
          boolean whole = alive.getOrDefault(token, members).size() == sizes.get(token);
          if (whole) {
            partialSinceMillis.remove(token);
            return;
          }
          long since = partialSinceMillis.computeIfAbsent(token, key -> nowMillis);
          if (nowMillis - since > PARTIAL_BOUND_MILLIS) {
            report(Invariant.GANG_WHOLE, "token " + token + " runs in part: " + members);
            partialSinceMillis.put(token, nowMillis);
          }
        });
  }

  private Map<Long, Set<Integer>> aliveMembers(long nowMillis) {
    Map<Long, Set<Integer>> alive = new HashMap<>();
    for (WorkerStandIn worker : workers) {
      for (TaskRun run : worker.started(nowMillis)) {
        alive.computeIfAbsent(run.token(), token -> new HashSet<>()).add(run.member());
      }
    }
    return alive;
  }

  /** Checks that a VM's configuration does not go back, also over a replacement of the VM. */
  void checkConfig(FuzzVm vm) {
    if (!vm.isReady()) {
      return;
    }
    long revision = vm.config().offset();
    Long before = configRevisions.put(vm.id(), revision);
    if (before != null && revision < before) {
      report(
          Invariant.CONFIG_NEVER_REVERTS,
          vm.id() + " went back from " + before + " to " + revision);
    }
  }

  /** Checks, with all faults over, that VMs agree. */
  void checkSameConfig(FuzzVm vm, FuzzVm other) {
    if (!vm.config().organisations().equals(other.config().organisations())) {
      report(Invariant.CONFIG_NEVER_REVERTS, vm.id() + " and " + other.id() + " differ");
    }
  }

  /** Checks, with all faults over and time given, that every accepted job has ended. */
  void checkNothingLost(JobState jobs) {
    for (JobKey key : caller.accepted().keySet()) {
      Job job = jobs.jobs().get(key);
      if (job == null || !job.isEnded()) {
        report(Invariant.NOTHING_LOST, key + " is " + (job == null ? "gone" : job));
      }
    }
    for (Allocation left : jobs.allocations().values()) {
      Job job = jobs.jobs().get(left.job());
      if (job == null || job.isEnded()) {
        report(Invariant.NOTHING_LOST, "accelerators of " + left.job() + " were never released");
      }
    }
  }
}
