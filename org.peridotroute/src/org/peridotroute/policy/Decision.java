package org.peridotroute.policy;

import java.util.List;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.Member;
import org.peridotroute.lib.OrganisationId;

/** One decision of a policy. Immutable. */
public sealed interface Decision {
  /**
   * Places a waiting job.
   *
   * @param job the job
   * @param attempt the number of the attempt, from 1
   * @param borrowed whether the room is outside of the organisation's guarantees
   * @param members where each member goes
   */
  record Place(JobKey job, int attempt, boolean borrowed, List<Member> members)
      implements Decision {
    /** Copies the members. */
    public Place {
      members = List.copyOf(members);
    }
  }

  /**
   * Takes the room of a borrowing attempt back.
   *
   * @param job the borrower
   * @param token the borrower's attempt
   * @param owner the organisation whose guarantee needs the room
   */
  record Reclaim(JobKey job, long token, OrganisationId owner) implements Decision {}

  /**
   * Refuses a job that can never run.
   *
   * @param job the job
   * @param reason the proof
   */
  record Refuse(JobKey job, String reason) implements Decision {}
}
