package org.peridotroute.scheduler.conduct;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.peridotroute.lib.WorkerId;

/**
 * The conduct of all workers. Evidence is collected as it comes; states change only in a review, so
 * that what happens to many workers at once is seen as such. Confined to one thread.
 */
public final class ConductBook {
  /** Time after the start of a term in which silences and refusals may be due to the planner. */
  private static final long GRACE_MILLIS = 3_000;

  /** Share of the workers of a service that are in quarantine at most: one in so many. */
  private static final int QUARANTINE_DIVISOR = 4;

  /** Smallest number of workers that a common cause can be concluded from. */
  private static final int MIN_COMMON = 3;

  /**
   * A refusal by a sound worker is rare, but may come from an outdated view of its capacity. Two
   * that follow each other suffice for a quarantine.
   */
  private static final double REFUSAL_WEIGHT = 3.2;

  /** A silence and its end together make a worker doubtful, and two of them suffice. */
  private static final double SILENCE_WEIGHT = 2;

  private static final double FLAP_WEIGHT = 1.5;

  /**
   * A worker that the service consists of.
   *
   * @param id the worker
   * @param service its service
   * @param rack its rack
   */
  public record Member(WorkerId id, String service, String rack) {}

  private final long beginMillis;
  private final Map<WorkerId, WorkerConduct> conducts = new HashMap<>();
  private final RunFailures failures = new RunFailures();
  private final RunProgress progress = new RunProgress();

  /**
   * Creates the book of a planner.
   *
   * @param nowMillis steady time at which its term begins
   */
  public ConductBook(long nowMillis) {
    beginMillis = nowMillis;
  }

  /** Returns the conduct of a worker. */
  public WorkerConduct conduct(WorkerId worker) {
    return conducts.getOrDefault(worker, WorkerConduct.UNKNOWN);
  }

  /** Returns the ids of the workers in a state, separated by commas. */
  public String workersIn(ConductState state) {
    return conducts.entrySet().stream()
        .filter(entry -> entry.getValue().state() == state)
        .map(entry -> entry.getKey().value())
        .sorted()
        .collect(Collectors.joining(","));
  }

  /** Adopts the quarantine that an earlier planner imposed, until the given steady time. */
  public void inherit(WorkerId worker, int level, long untilMillis) {
    if (level > 0) {
      conducts.put(
          worker,
          new WorkerConduct(
              untilMillis > beginMillis ? ConductState.QUARANTINED : ConductState.DOUBTFUL,
              Suspicion.NONE,
              level,
              beginMillis,
              untilMillis,
              0));
    }
  }

  /** Records that a worker refused a start. */
  public void onRefusal(WorkerId worker, long nowMillis) {
    add(worker, EvidenceKind.REFUSAL, REFUSAL_WEIGHT, nowMillis);
  }

  /** Records that a worker no longer replies. */
  public void onSilence(WorkerId worker, long nowMillis) {
    add(worker, EvidenceKind.SILENCE, SILENCE_WEIGHT, nowMillis);
  }

  /** Records that a worker replies again. */
  public void onRegained(WorkerId worker, long nowMillis) {
    add(worker, EvidenceKind.FLAP, FLAP_WEIGHT, nowMillis);
  }

  /**
   * Records that a worker has been replaced by another incarnation.
   *
   * @param worker the worker
   * @param successor the next incarnation, which may have the same id
   */
  public void onReplaced(WorkerId worker, WorkerId successor, long nowMillis) {
    conducts.put(successor, conduct(worker).nextIncarnation(nowMillis));
    failures.forget(worker);
  }

  /**
   * Records the end of a run.
   *
   * @param task identity of the task
   * @param failed whether the run has failed; otherwise it has completed
   */
  public void onRunEnded(
      WorkerId worker, String queue, String job, String task, boolean failed, long nowMillis) {
    failures.add(worker, queue, job, task, failed, nowMillis);
    if (!failed) {
      conducts.computeIfPresent(worker, (key, conduct) -> conduct.withGoodRun());
    }
  }

  private void add(WorkerId worker, EvidenceKind kind, double weight, long nowMillis) {
    if (nowMillis - beginMillis >= GRACE_MILLIS) {
      conducts.put(worker, conduct(worker).with(kind, weight, nowMillis));
    }
  }

  /**
   * Weighs the evidence and changes the states of workers.
   *
   * @param members the workers that are listed
   * @param samples the progress of the runs under way
   * @return what has changed
   */
  public List<ConductChange> review(
      Collection<Member> members, List<ProgressSample> samples, long nowMillis) {
    progress
        .weigh(samples, nowMillis)
        .forEach((worker, weight) -> add(worker, EvidenceKind.SLOWNESS, weight, nowMillis));
    failures.beginReview();
    Map<WorkerId, WorkerConduct> weighed = new LinkedHashMap<>();
    for (Member member : members) {
      weighed.put(member.id(), withFailures(member.id(), nowMillis));
    }
    FleetSuspicion fleet = new FleetSuspicion(members, weighed, nowMillis);
    List<Member> accused =
        members.stream()
            .filter(member -> weighed.get(member.id()).deservesQuarantine(nowMillis))
            .sorted(
                Comparator.comparingDouble(
                    member -> -weighed.get(member.id()).suspicion().total(nowMillis)))
            .toList();
    List<ConductChange> changes = new ArrayList<>();
    for (Member member : members) {
      WorkerConduct conduct = weighed.get(member.id());
      if (conduct.deservesQuarantine(nowMillis)) {
        continue;
      }
      boolean excused = conduct.state() == ConductState.QUARANTINED && fleet.hasSuspectRack(member);
      WorkerConduct next = excused ? conduct.doubtful(nowMillis) : conduct.atTime(nowMillis);
      change(member.id(), next, excused ? "its whole rack is suspect" : "", changes, nowMillis);
    }
    for (Member member : accused) {
      WorkerConduct conduct = weighed.get(member.id());
      String evidence = conduct.suspicion().describe(nowMillis);
      if (fleet.hasCommonCause(member) || !hasRoom(member, members)) {
        change(member.id(), conduct.spared(nowMillis), evidence, changes, nowMillis);
      } else {
        change(member.id(), conduct.quarantined(nowMillis), evidence, changes, nowMillis);
      }
    }
    return changes;
  }

  /**
   * Returns the conduct with the present weight of failed runs, which is determined anew each time
   * and therefore not kept.
   */
  private WorkerConduct withFailures(WorkerId worker, long nowMillis) {
    WorkerConduct conduct = conduct(worker);
    double weight = failures.weight(worker, nowMillis);
    return weight > 0 && nowMillis - beginMillis >= GRACE_MILLIS
        ? conduct.with(EvidenceKind.FAILURE, weight, nowMillis)
        : conduct;
  }

  private boolean hasRoom(Member accused, Collection<Member> members) {
    int size = 0;
    int quarantined = 0;
    for (Member member : members) {
      if (member.service().equals(accused.service())) {
        size++;
        quarantined += conduct(member.id()).state() == ConductState.QUARANTINED ? 1 : 0;
      }
    }
    return (quarantined + 1) * QUARANTINE_DIVISOR <= size;
  }

  private void change(
      WorkerId worker,
      WorkerConduct next,
      String evidence,
      List<ConductChange> changes,
      long nowMillis) {
    WorkerConduct before = conduct(worker);
    // The weight of failed runs must not be kept, or each review would add it again.
    WorkerConduct kept =
        new WorkerConduct(
            next.state(),
            next.state() == ConductState.QUARANTINED || next.state() == ConductState.ON_TRIAL
                ? next.suspicion()
                : before.suspicion(),
            next.level(),
            next.sinceMillis(),
            next.untilMillis(),
            next.goodRuns());
    conducts.put(worker, kept);
    if (before.state() != next.state()) {
      if (next.state() == ConductState.QUARANTINED || next.state() == ConductState.ON_TRIAL) {
        failures.forget(worker);
      }
      String reason = evidence.isEmpty() ? next.suspicion().describe(nowMillis) : evidence;
      changes.add(new ConductChange(worker, before.state(), kept, reason));
    }
  }

  /** Forgets workers that no longer exist. */
  public void retain(Collection<WorkerId> existing) {
    conducts.keySet().retainAll(existing);
  }

  /** How much of each rack and service is suspect. */
  private static final class FleetSuspicion {
    private final Map<String, int[]> racks = new HashMap<>();
    private final Map<String, int[]> services = new HashMap<>();

    FleetSuspicion(
        Collection<Member> members, Map<WorkerId, WorkerConduct> conducts, long nowMillis) {
      for (Member member : members) {
        WorkerConduct conduct = conducts.get(member.id());
        boolean suspect = conduct.isSuspect(nowMillis);
        // A doubtful worker counts for its rack until it is sound, since its evidence fluctuates.
        boolean unsound = suspect || conduct.state() != ConductState.SOUND;
        count(racks, rackKey(member), unsound);
        count(services, member.service(), suspect && conduct.state() != ConductState.QUARANTINED);
      }
    }

    private static String rackKey(Member member) {
      return member.service() + "/" + member.rack();
    }

    private static void count(Map<String, int[]> map, String key, boolean suspect) {
      int[] counts = map.computeIfAbsent(key, missing -> new int[2]);
      counts[0]++;
      counts[1] += suspect ? 1 : 0;
    }

    /** Returns whether most workers of a rack are suspect, so that a common cause is likely. */
    boolean hasSuspectRack(Member member) {
      int[] counts = racks.get(rackKey(member));
      return counts[1] >= MIN_COMMON && 2 * counts[1] > counts[0];
    }

    /** Returns whether so many workers are suspect at once that no single one is accused. */
    boolean hasCommonCause(Member member) {
      int[] counts = services.get(member.service());
      boolean many = counts[1] >= MIN_COMMON && QUARANTINE_DIVISOR * counts[1] > counts[0];
      return many || hasSuspectRack(member);
    }
  }
}
