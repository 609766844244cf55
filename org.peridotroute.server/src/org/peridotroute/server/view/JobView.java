package org.peridotroute.server.view;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.peridotroute.fold.Allocation;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.JobPhase;
import org.peridotroute.fold.JobState;
import org.peridotroute.fold.Outcome;
import org.peridotroute.lib.JobName;
import org.peridotroute.lib.JobSpec;
import org.peridotroute.lib.Member;
import org.peridotroute.lib.OrganisationId;

/**
 * A job as callers see it.
 *
 * @param organisation the owner
 * @param name the name the caller chose
 * @param revision offset of the record that changed it last
 * @param createdRevision offset of the record that submitted it
 * @param phase where it is in its life
 * @param outcome how it ended
 * @param attempts placements so far
 * @param starts starts so far
 * @param cancelRequested whether it is being cancelled
 * @param reason what was seen last
 * @param answerSha256 digest of the answer, where there is one
 * @param spec what was asked for
 * @param members where its members are at present
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record JobView(
    OrganisationId organisation,
    JobName name,
    long revision,
    long createdRevision,
    JobPhase phase,
    Outcome outcome,
    int attempts,
    int starts,
    boolean cancelRequested,
    String reason,
    String answerSha256,
    JobSpec spec,
    List<Member> members) {
  /**
   * Describes a job.
   *
   * @param job the job
   * @param state the state it is in
   * @return the view
   */
  public static JobView of(Job job, JobState state) {
    Allocation held = job.token() == 0 ? null : state.allocations().get(job.token());
    return new JobView(
        job.key().organisation(),
        job.key().name(),
        job.revision(),
        job.createdRevision(),
        job.phase(),
        job.outcome(),
        job.attempts(),
        job.starts(),
        job.cancelRequested(),
        job.reason(),
        job.answer() == null ? null : job.answer().sha256(),
        job.spec(),
        held == null ? null : held.members());
  }
}
