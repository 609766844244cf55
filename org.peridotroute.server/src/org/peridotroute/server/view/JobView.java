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
 * A job, as returned by the resource API.
 *
 * @param organisation organisation that owns the job
 * @param name name chosen by the caller
 * @param revision offset of the record that changed it last
 * @param createdRevision offset of the record that submitted it
 * @param phase lifecycle phase
 * @param outcome final outcome, null until the job has ended
 * @param attempts number of placements so far
 * @param starts number of starts so far
 * @param cancelRequested whether a cancellation was requested
 * @param reason cause given when the latest attempt or the job ended, null if there is none
 * @param answerSha256 SHA-256 digest of the answer, null if there is none
 * @param spec the specification that the caller submitted
 * @param members workers and accelerators that the job holds, null if it is not placed
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
   * Creates the view of a job.
   *
   * @param job the job
   * @param state state that contains the job and its allocation
   * @return the view
   */
  public static JobView of(Job job, JobState state) {
    Allocation allocation = job.token() == 0 ? null : state.allocations().get(job.token());
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
        allocation == null ? null : allocation.members());
  }
}
