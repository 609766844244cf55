package org.peridotroute.policy;

import java.util.List;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.Member;
import org.peridotroute.lib.OrganisationId;

/** A decision of a placement policy. Immutable. */
public sealed interface Decision {
  /**
   * Places a queued job.
   *
   * @param job the job
   * @param attempt the number of the attempt, starting at 1
   * @param borrowed whether the accelerators are outside the organisation's guarantees
   * @param members the worker and accelerators of each member
   */
  record Place(JobKey job, int attempt, boolean borrowed, List<Member> members)
      implements Decision {
    /** Makes an immutable copy of the members. */
    public Place {
      members = List.copyOf(members);
    }
  }

  /**
   * Reclaims the accelerators of a borrowing attempt.
   *
   * @param job the borrowing job
   * @param token the fencing token of the borrowing attempt
   * @param owner the organisation whose guarantee needs the accelerators
   */
  record Reclaim(JobKey job, long token, OrganisationId owner) implements Decision {}

  /**
   * Refuses a job that can never run.
   *
   * @param job the job
   * @param reason why the job can never run
   */
  record Refuse(JobKey job, String reason) implements Decision {}
}
