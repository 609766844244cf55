package org.peridotroute.fold;

import java.util.List;
import org.peridotroute.lib.AcceleratorId;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.Member;

/**
 * Accelerators held by one attempt of a job. They stay held after the attempt has ended until every
 * lease has been released or has expired.
 *
 * @param token fencing token of the attempt
 * @param job key of the job
 * @param borrowed whether the accelerators are outside the organisation's guarantees
 * @param releasing whether the attempt has ended
 * @param members placement of each member, in the order of member indices
 * @param leases lease id of each member, in the order of member indices; empty before the start
 */
public record Allocation(
    long token,
    JobKey job,
    boolean borrowed,
    boolean releasing,
    List<Member> members,
    List<String> leases) {
  /** Makes defensive copies of the lists. */
  public Allocation {
    members = List.copyOf(members);
    leases = List.copyOf(leases);
  }

  /** Returns the accelerators of all members. */
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
