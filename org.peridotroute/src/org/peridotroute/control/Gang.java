package org.peridotroute.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import org.peridotroute.fold.Allocation;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.JobPhase;
import org.peridotroute.journal.AttemptEnd;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.Answer;
import org.peridotroute.lib.WorkerId;

/**
 * Drives one attempt of a job. Holds no information that another driver could not recover from the
 * state and the workers. Mutable; used only by the driver's thread.
 */
final class Gang {
  /** Ratio of the age of a gang to the interval between its renewal rounds. */
  private static final int AGE_TO_INTERVAL_RATIO = 10;

  private final Allocation allocation;
  private final GangTimes times;
  private final WorkerGateway gateway;
  private final RecordSink sink;
  private final Executor continuations;
  private long takeoverMillis;
  private final List<MemberStatus> members = new ArrayList<>();

  private Job job;
  private Allocation current;
  private long nowMillis;
  private long roundStartMillis;
  private boolean proposalPending;
  private EndCause endCause;

  /** Why the driver ends the attempt. */
  private record EndCause(AttemptEnd end, WorkerId worker, String reason) {}

  Gang(
      Allocation allocation,
      GangTimes times,
      WorkerGateway gateway,
      RecordSink sink,
      Executor continuations,
      long nowMillis) {
    this.allocation = allocation;
    this.times = times;
    this.gateway = gateway;
    this.sink = sink;
    this.continuations = continuations;
    this.nowMillis = nowMillis;
    takeoverMillis = nowMillis;
    roundStartMillis = nowMillis;
    for (int i = 0; i < allocation.members().size(); i++) {
      members.add(new MemberStatus(i, allocation.members().get(i), nowMillis));
    }
  }

  void step(Job latest, Allocation latestAllocation, Predicate<WorkerId> isAvailable, long now) {
    job = latest;
    current = latestAllocation;
    if (now - nowMillis > times.leaseMillis() / 2) {
      resetAfterPause(now);
    }
    nowMillis = now;
    if (current.releasing()) {
      stepRelease();
    } else if (latest.phase() == JobPhase.PLACED) {
      stepPrepare(isAvailable);
    } else if (latest.phase() == JobPhase.RUNNING) {
      stepRun();
    }
  }

  /**
   * Discards what is known from before a pause of the process. Another VM may have driven the gang
   * in the meantime, so only the workers know its current state.
   */
  private void resetAfterPause(long now) {
    takeoverMillis = now;
    roundStartMillis = now;
    for (MemberStatus member : members) {
      member.leaseSentMillis = now;
      member.preparedMillis = -1;
    }
  }

  private void stepPrepare(Predicate<WorkerId> isAvailable) {
    if (job.reclaimRequested()) {
      abandon(null, "its accelerators were reclaimed before it was started");
      return;
    }
    if (!proposalPending
        && !members.stream().allMatch(member -> isAvailable.test(member.placement.worker()))) {
      abandon(null, "a worker is leaving or missing");
      return;
    }
    for (MemberStatus member : members) {
      boolean prepared = isPreparedWithin(member, times.renewMillis());
      if (!prepared && member.isRetryDue(nowMillis, times.retryMillis())) {
        send(member, TaskAction.PREPARE);
      }
    }
    if (endCause != null) {
      abandon(endCause.worker(), endCause.reason());
    } else if (members.stream()
        .allMatch(member -> isPreparedWithin(member, times.leaseMillis() / 2))) {
      propose(new LogRecord.Started(job.key(), allocation.token(), leases()));
    } else if (nowMillis - takeoverMillis > times.prepareTimeoutMillis()) {
      abandon(
          leastRecentlyPrepared().placement.worker(),
          "a member was not prepared before the timeout");
    }
  }

  private boolean isPreparedWithin(MemberStatus member, long withinMillis) {
    return member.preparedMillis >= 0 && nowMillis - member.preparedMillis < withinMillis;
  }

  private List<String> leases() {
    return members.stream().map(member -> member.lease).toList();
  }

  private MemberStatus leastRecentlyPrepared() {
    return members.stream()
        .min(Comparator.comparingLong(member -> member.preparedMillis))
        .orElseThrow();
  }

  private void abandon(WorkerId worker, String reason) {
    propose(
        new LogRecord.AttemptEnded(
            job.key(), allocation.token(), AttemptEnd.ABANDONED, null, worker, reason));
  }

  private void stepRun() {
    if (job.cancelRequested()) {
      requestEnd(AttemptEnd.CANCELLED, null, "cancelled by the caller");
    } else if (job.reclaimRequested()) {
      requestEnd(AttemptEnd.PREEMPTED, null, "its accelerators were reclaimed for a guarantee");
    }
    if (endCause != null) {
      stepEnd();
      return;
    }
    renewLeases();
    if (endCause == null && members.stream().allMatch(member -> member.output != null)) {
      succeed();
    }
  }

  /**
   * Renews the leases of all members in rounds. A round begins only after all members have replied
   * in the previous one, so that all leases of a gang that has lost a member expire.
   */
  private void renewLeases() {
    boolean allConfirmed = members.stream().allMatch(this::isConfirmedInRound);
    if (allConfirmed && nowMillis - roundStartMillis >= roundIntervalMillis()) {
      roundStartMillis = nowMillis;
    }
    for (MemberStatus member : members) {
      if (isConfirmedInRound(member)) {
        continue;
      }
      if (nowMillis - roundStartMillis > times.leaseMillis()) {
        requestEnd(
            AttemptEnd.LOST,
            member.placement.worker(),
            "a member did not reply for the duration of a lease");
        return;
      }
      if (member.isRetryDue(nowMillis, times.retryMillis()) || isUnsentInRound(member)) {
        send(member, member.started ? TaskAction.RENEW : TaskAction.START);
      }
    }
  }

  /**
   * Returns the time between two renewal rounds. It grows with the age of the gang up to the
   * renewal interval, so that the end of a short attempt is noticed soon and a long one causes few
   * calls.
   */
  private long roundIntervalMillis() {
    long ageMillis = nowMillis - takeoverMillis;
    return Math.min(
        times.renewMillis(), Math.max(times.retryMillis(), ageMillis / AGE_TO_INTERVAL_RATIO));
  }

  private boolean isConfirmedInRound(MemberStatus member) {
    return member.started && member.confirmedMillis >= roundStartMillis;
  }

  private boolean isUnsentInRound(MemberStatus member) {
    return !member.inFlight && member.sentMillis < roundStartMillis;
  }

  private void succeed() {
    StringBuilder joined = new StringBuilder();
    members.forEach(member -> joined.append(member.output.body()).append('\n'));
    if (joined.length() > Answer.MAX_BYTES) {
      requestEnd(AttemptEnd.FAILED, null, "the answer exceeds " + Answer.MAX_BYTES + " bytes");
      return;
    }
    Answer answer = Answer.of(joined.toString());
    propose(
        new LogRecord.AttemptEnded(
            job.key(), allocation.token(), AttemptEnd.SUCCEEDED, answer, null, null));
  }

  private void requestEnd(AttemptEnd end, WorkerId worker, String reason) {
    if (endCause == null) {
      endCause = new EndCause(end, worker, reason);
    }
  }

  private void stepEnd() {
    if (releaseAll()) {
      propose(
          new LogRecord.AttemptEnded(
              job.key(),
              allocation.token(),
              endCause.end(),
              null,
              endCause.worker(),
              endCause.reason()));
    }
  }

  private void stepRelease() {
    if (releaseAll()) {
      propose(new LogRecord.Released(allocation.token()));
    }
  }

  /** Releases all members; returns whether each was released or its lease has surely expired. */
  private boolean releaseAll() {
    boolean allReleased = true;
    for (MemberStatus member : members) {
      boolean expired = nowMillis - member.leaseSentMillis > times.leaseExpiryMillis();
      if (member.released || expired) {
        continue;
      }
      allReleased = false;
      if (member.isRetryDue(nowMillis, times.retryMillis()) || isStartedAndIdle(member)) {
        send(member, TaskAction.RELEASE);
      }
    }
    return allReleased;
  }

  private static boolean isStartedAndIdle(MemberStatus member) {
    return !member.inFlight && member.started;
  }

  private void send(MemberStatus member, TaskAction action) {
    boolean isPrepare = action == TaskAction.PREPARE;
    TaskCommand command =
        new TaskCommand(
            action,
            allocation.job(),
            member.index,
            allocation.token(),
            leaseOf(member, action),
            action == TaskAction.RELEASE ? 0 : times.leaseMillis(),
            carriesAccelerators(action) ? member.placement.accelerators() : null,
            isPrepare ? job.spec().payload() : null);
    long sentMillis = nowMillis;
    member.inFlight = true;
    member.sentMillis = sentMillis;
    if (action != TaskAction.RELEASE) {
      member.leaseSentMillis = sentMillis;
    }
    var unused =
        gateway
            .send(member.placement.worker(), command)
            .whenCompleteAsync(
                (report, failure) -> {
                  member.inFlight = false;
                  if (failure == null && report.isReplyTo(command)) {
                    onReport(member, action, report, sentMillis);
                  }
                },
                continuations);
  }

  private static boolean carriesAccelerators(TaskAction action) {
    return action == TaskAction.PREPARE || action == TaskAction.RELEASE;
  }

  private String leaseOf(MemberStatus member, TaskAction action) {
    boolean carriesLease = action == TaskAction.START || action == TaskAction.RENEW;
    return carriesLease ? current.leases().get(member.index) : null;
  }

  private void onReport(
      MemberStatus member, TaskAction action, TaskReport report, long sentMillis) {
    switch (report.state()) {
      case PREPARED -> {
        member.preparedMillis = Math.max(member.preparedMillis, sentMillis);
        member.lease = report.lease();
      }
      case RUNNING, SUCCEEDED -> {
        member.started = true;
        member.confirmedMillis = Math.max(member.confirmedMillis, sentMillis);
        member.output = report.output();
      }
      case FAILED -> requestEnd(AttemptEnd.FAILED, member.placement.worker(), report.reason());
      case RELEASED -> member.released = action == TaskAction.RELEASE;
      case NOT_HELD, REFUSED -> onNotHeld(member, action, report);
      default -> throw new IllegalStateException("unknown task state: " + report.state());
    }
  }

  private void onNotHeld(MemberStatus member, TaskAction action, TaskReport report) {
    if (action == TaskAction.RELEASE) {
      member.released = true;
      return;
    }
    String reason = report.reason() == null ? "the lease expired" : report.reason();
    requestEnd(AttemptEnd.LOST, member.placement.worker(), reason);
  }

  private void propose(LogRecord record) {
    if (proposalPending) {
      return;
    }
    proposalPending = true;
    var unused =
        sink.propose(record)
            .whenCompleteAsync((verdict, failure) -> proposalPending = false, continuations);
  }
}
