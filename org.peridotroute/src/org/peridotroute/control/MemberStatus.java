package org.peridotroute.control;

import org.peridotroute.lib.Answer;
import org.peridotroute.lib.Member;

/** A driver's view of one member of a gang. Mutable; owned by its {@link Gang}. */
final class MemberStatus {
  final int index;
  final Member placement;

  /** Whether a command was sent whose reply or timeout is pending. */
  boolean inFlight;

  /** Time at which the last command that can renew the lease was sent. */
  long leaseSentMillis;

  /** Time at which the last command was sent; -1 before the first. */
  long sentMillis;

  /** Send time of the latest command with a running or succeeded reply; -1 before the first. */
  long confirmedMillis = -1;

  /** Send time of the latest command with a prepared reply; -1 before the first. */
  long preparedMillis = -1;

  /** Id of the lease that the worker granted last; null before the first. */
  String lease;

  boolean started;
  boolean released;
  Answer output;

  MemberStatus(int index, Member placement, long takeoverMillis) {
    this.index = index;
    this.placement = placement;
    leaseSentMillis = takeoverMillis;
    sentMillis = -1;
  }

  /** Returns whether no command is in flight and the retry interval has passed. */
  boolean isRetryDue(long nowMillis, long retryMillis) {
    return !inFlight && (sentMillis < 0 || nowMillis - sentMillis >= retryMillis);
  }
}
