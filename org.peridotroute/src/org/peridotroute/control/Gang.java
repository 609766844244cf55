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
 * One attempt of a job as its driver sees it. Holds nothing that another driver could not find out
 * again from the state and the workers. Mutable; used by the driver's thread alone.
 */
final class Gang {
  private static final int AGE_SHARE = 10;

  private final Allocation allocation;
  private final GangTimes times;
  private final WorkerGateway gateway;
  private final RecordSink sink;
  private final Executor continuations;
  private long takenOnMillis;
  private final List<MemberStatus> members = new ArrayList<>();

  private Job job;
  private Allocation held;
  private long nowMillis;
  private long roundMillis;
  private boolean proposing;
  private Ending ending;

  /** Why the driver stops the gang. */
  private record Ending(AttemptEnd end, WorkerId worker, String reason) {}

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
    takenOnMillis = nowMillis;
    roundMillis = nowMillis;
    for (int i = 0; i < allocation.members().size(); i++) {
      members.add(new MemberStatus(i, allocation.members().get(i), nowMillis));
    }
  }

  void step(Job latest, Allocation latestHeld, Predicate<WorkerId> takesWork, long now) {
    job = latest;
    held = latestHeld;
    if (now - nowMillis > times.leaseMillis() / 2) {
      takeOnAgain(now);
    }
    nowMillis = now;
    if (held.releasing()) {
      stepRelease();
    } else if (latest.phase() == JobPhase.PLACED) {
      stepPrepare(takesWork);
    } else if (latest.phase() == JobPhase.RUNNING) {
      stepRun();
    }
  }

  /**
   * Forgets what was known before a pause of the process: another VM may have driven the gang
   * since, and only the workers can tell.
   */
  private void takeOnAgain(long now) {
    takenOnMillis = now;
    roundMillis = now;
    for (MemberStatus member : members) {
      member.leaseSentMillis = now;
      member.preparedMillis = -1;
    }
  }

  private void stepPrepare(Predicate<WorkerId> takesWork) {
    if (job.reclaimRequested()) {
      abandon(null, "its room was reclaimed before it was started");
      return;
    }
    if (!proposing && !members.stream().allMatch(one -> takesWork.test(one.member.worker()))) {
      abandon(null, "a worker is leaving or gone");
      return;
    }
    for (MemberStatus member : members) {
      boolean fresh = isFresh(member, times.renewMillis());
      if (!fresh && member.isIdle(nowMillis, times.retryMillis())) {
        send(member, TaskAction.PREPARE);
      }
    }
    if (ending != null) {
      abandon(ending.worker(), ending.reason());
    } else if (members.stream().allMatch(member -> isFresh(member, times.leaseMillis() / 2))) {
      propose(new LogRecord.Started(job.key(), allocation.token(), leases()));
    } else if (nowMillis - takenOnMillis > times.prepareTimeoutMillis()) {
      abandon(oldestPrepared().member.worker(), "a member was not prepared in time");
    }
  }

  private boolean isFresh(MemberStatus member, long withinMillis) {
    return member.preparedMillis >= 0 && nowMillis - member.preparedMillis < withinMillis;
  }

  private List<String> leases() {
    return members.stream().map(member -> member.lease).toList();
  }

  private MemberStatus oldestPrepared() {
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
      endWith(AttemptEnd.CANCELLED, null, "cancelled by the caller");
    } else if (job.reclaimRequested()) {
      endWith(AttemptEnd.PREEMPTED, null, "its room was reclaimed by the owner of a guarantee");
    }
    if (ending != null) {
      stepStop();
      return;
    }
    renewRound();
    if (ending == null && members.stream().allMatch(member -> member.output != null)) {
      succeed();
    }
  }

  /**
   * Renews members in rounds. The next round begins only when all have answered in this one, so
   * that a gang that has lost a member is renewed nowhere.
   */
  private void renewRound() {
    boolean allAnswered = members.stream().allMatch(this::answeredInRound);
    if (allAnswered && nowMillis - roundMillis >= roundIntervalMillis()) {
      roundMillis = nowMillis;
    }
    for (MemberStatus member : members) {
      if (answeredInRound(member)) {
        continue;
      }
      if (nowMillis - roundMillis > times.leaseMillis()) {
        endWith(AttemptEnd.LOST, member.member.worker(), "a member did not answer for a lease");
        return;
      }
      if (member.isIdle(nowMillis, times.retryMillis()) || isFirstOfRound(member)) {
        send(member, member.started ? TaskAction.RENEW : TaskAction.START);
      }
    }
  }

  /**
   * Returns the time between two rounds: short for a young gang, whose end is soon looked for, and
   * up to the time between renewals for one that has run for long and is quiet.
   */
  private long roundIntervalMillis() {
    long ageMillis = nowMillis - takenOnMillis;
    return Math.min(times.renewMillis(), Math.max(times.retryMillis(), ageMillis / AGE_SHARE));
  }

  private boolean answeredInRound(MemberStatus member) {
    return member.started && member.answeredMillis >= roundMillis;
  }

  private boolean isFirstOfRound(MemberStatus member) {
    return !member.inFlight && member.sentMillis < roundMillis;
  }

  private void succeed() {
    StringBuilder whole = new StringBuilder();
    members.forEach(member -> whole.append(member.output.body()).append('\n'));
    if (whole.length() > Answer.MAX_BYTES) {
      endWith(AttemptEnd.FAILED, null, "the answer is over " + Answer.MAX_BYTES + " bytes");
      return;
    }
    Answer answer = Answer.of(whole.toString());
    propose(
        new LogRecord.AttemptEnded(
            job.key(), allocation.token(), AttemptEnd.SUCCEEDED, answer, null, null));
  }

  private void endWith(AttemptEnd end, WorkerId worker, String reason) {
    if (ending == null) {
      ending = new Ending(end, worker, reason);
    }
  }

  private void stepStop() {
    if (releaseAll()) {
      propose(
          new LogRecord.AttemptEnded(
              job.key(), allocation.token(), ending.end(), null, ending.worker(), ending.reason()));
    }
  }

  private void stepRelease() {
    if (releaseAll()) {
      propose(new LogRecord.Released(allocation.token()));
    }
  }

  /** Gives every lease back; returns whether each was given back or has certainly lapsed. */
  private boolean releaseAll() {
    boolean over = true;
    for (MemberStatus member : members) {
      boolean lapsed = nowMillis - member.leaseSentMillis > times.lapseMillis();
      if (member.released || lapsed) {
        continue;
      }
      over = false;
      if (member.isIdle(nowMillis, times.retryMillis()) || isRunning(member)) {
        send(member, TaskAction.RELEASE);
      }
    }
    return over;
  }

  private static boolean isRunning(MemberStatus member) {
    return !member.inFlight && member.started;
  }

  private void send(MemberStatus member, TaskAction action) {
    boolean prepare = action == TaskAction.PREPARE;
    TaskCommand command =
        new TaskCommand(
            action,
            allocation.job(),
            member.number,
            allocation.token(),
            lease(member, action),
            action == TaskAction.RELEASE ? 0 : times.leaseMillis(),
            fences(action) ? member.member.accelerators() : null,
            prepare ? job.spec().payload() : null);
    long sentMillis = nowMillis;
    member.inFlight = true;
    member.sentMillis = sentMillis;
    if (action != TaskAction.RELEASE) {
      member.leaseSentMillis = sentMillis;
    }
    var unused =
        gateway
            .send(member.member.worker(), command)
            .whenCompleteAsync(
                (report, failure) -> {
                  member.inFlight = false;
                  if (failure == null && report.isReplyTo(command)) {
                    onReport(member, action, report, sentMillis);
                  }
                },
                continuations);
  }

  private static boolean fences(TaskAction action) {
    return action == TaskAction.PREPARE || action == TaskAction.RELEASE;
  }

  private String lease(MemberStatus member, TaskAction action) {
    boolean named = action == TaskAction.START || action == TaskAction.RENEW;
    return named ? held.leases().get(member.number) : null;
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
        member.answeredMillis = Math.max(member.answeredMillis, sentMillis);
        member.output = report.output();
      }
      case FAILED -> endWith(AttemptEnd.FAILED, member.member.worker(), report.reason());
      case RELEASED -> member.released = action == TaskAction.RELEASE;
      case NOT_HELD, REFUSED -> onNotHeld(member, action, report);
      default -> throw new IllegalStateException("no such task state: " + report.state());
    }
  }

  private void onNotHeld(MemberStatus member, TaskAction action, TaskReport report) {
    if (action == TaskAction.RELEASE) {
      member.released = true;
      return;
    }
    String reason = report.reason() == null ? "the lease has lapsed" : report.reason();
    endWith(AttemptEnd.LOST, member.member.worker(), reason);
  }

  private void propose(LogRecord record) {
    if (proposing) {
      return;
    }
    proposing = true;
    var unused =
        sink.propose(record)
            .whenCompleteAsync((verdict, failure) -> proposing = false, continuations);
  }
}
