package org.peridotroute.control;

import org.peridotroute.lib.Answer;
import org.peridotroute.lib.Member;

/** What a driver knows of one member of a gang. Mutable; owned by its {@link Gang}. */
final class MemberStatus {
  final int number;
  final Member member;

  /** A command is on its way or waits for its answer. */
  boolean inFlight;

  /** When a command that may renew the lease was sent last. */
  long leaseSentMillis;

  /** When the last command was sent. */
  long sentMillis;

  /** When a good answer to a command sent at or after this time came; -1 before the first. */
  long answeredMillis = -1;

  /** When the last good answer to a prepare was asked for; -1 before the first. */
  long preparedMillis = -1;

  /** Id of the lease that the worker gave last; null before the first. */
  String lease;

  boolean started;
  boolean released;
  Answer output;

  MemberStatus(int number, Member member, long takenOnMillis) {
    this.number = number;
    this.member = member;
    leaseSentMillis = takenOnMillis;
    sentMillis = -1;
  }

  /** Returns whether a command may be sent now. */
  boolean isIdle(long nowMillis, long retryMillis) {
    return !inFlight && (sentMillis < 0 || nowMillis - sentMillis >= retryMillis);
  }
}
