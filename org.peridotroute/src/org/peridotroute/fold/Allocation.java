package org.peridotroute.fold;

import java.util.List;
import org.peridotroute.lib.AcceleratorId;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.Member;

/**
 * Accelerators held by one attempt. They stay held after the attempt is over until every lease was
 * given back or has lapsed.
 *
 * @param token the attempt's fencing token
 * @param job the job
 * @param borrowed whether the room is outside of the organisation's guarantees
 * @param releasing whether the attempt is over
 * @param members where each member is, by member number
 * @param leases id of each member's lease, by member number; empty before the start
 */
public record Allocation(
    long token,
    JobKey job,
    boolean borrowed,
    boolean releasing,
    List<Member> members,
    List<String> leases) {
  /** Copies the lists. */
  public Allocation {
    members = List.copyOf(members);
    leases = List.copyOf(leases);
  }

  /** Returns all accelerators held. */
  public List<AcceleratorId> acceleratorIds() {
    return members.stream().flatMap(member -> member.acceleratorIds().stream()).toList();
  }

  Allocation toReleasing() {
    return new Allocation(token, job, borrowed, true, members, leases);
  }

  Allocation withLeases(List<String> ids) {
    return new Allocation(token, job, borrowed, releasing, members, ids);
  }
}
