package org.peridotroute.journal;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.peridotroute.lib.Answer;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;
import org.peridotroute.lib.Member;
import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.WorkerId;

/** A proposal on the log. Immutable. Names of the kinds are part of the stored format. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = LogRecord.JobSubmitted.class, name = "job-submitted"),
  @JsonSubTypes.Type(value = LogRecord.CancelRequested.class, name = "cancel-requested"),
  @JsonSubTypes.Type(value = LogRecord.PlannerClaimed.class, name = "planner-claimed"),
  @JsonSubTypes.Type(value = LogRecord.PlannerRenewed.class, name = "planner-renewed"),
  @JsonSubTypes.Type(value = LogRecord.Placed.class, name = "placed"),
  @JsonSubTypes.Type(value = LogRecord.ReclaimRequested.class, name = "reclaim-requested"),
  @JsonSubTypes.Type(value = LogRecord.JobRefused.class, name = "job-refused"),
  @JsonSubTypes.Type(value = LogRecord.Started.class, name = "started"),
  @JsonSubTypes.Type(value = LogRecord.AttemptEnded.class, name = "attempt-ended"),
  @JsonSubTypes.Type(value = LogRecord.Released.class, name = "released"),
  @JsonSubTypes.Type(value = LogRecord.OrganisationPut.class, name = "organisation-put"),
  @JsonSubTypes.Type(value = LogRecord.OrganisationDeleted.class, name = "organisation-deleted"),
})
public sealed interface LogRecord {
  /**
   * A caller submits a job. Valid if the name is new.
   *
   * @param job the job
   * @param spec what is asked for
   * @param requestId the caller's request, for logs
   */
  record JobSubmitted(JobKey job, JobSpec spec, String requestId) implements LogRecord {}

  /**
   * A caller cancels a job. Valid if the job is there and has not ended.
   *
   * @param job the job
   * @param requestId the caller's request, for logs
   */
  record CancelRequested(JobKey job, String requestId) implements LogRecord {}

  /**
   * A VM claims the planner's role. Valid if the epoch it replaces is still the current one. The
   * record's offset is the new epoch.
   *
   * @param vm the VM
   * @param replacedEpoch the epoch it replaces, 0 where there was none
   */
  record PlannerClaimed(VmId vm, long replacedEpoch) implements LogRecord {}

  /**
   * The planner shows that it is alive. Valid in its own epoch.
   *
   * @param epoch the planner's epoch
   */
  record PlannerRenewed(long epoch) implements LogRecord {}

  /**
   * The planner places a queued job. Valid in the current epoch if the attempt is the job's next
   * and every accelerator is free. The record's offset is the attempt's fencing token.
   *
   * @param epoch the planner's epoch
   * @param job the job
   * @param attempt the job's next attempt, from 1
   * @param borrowed whether the room is outside of the organisation's guarantees
   * @param members where each member goes, by member number
   */
  record Placed(long epoch, JobKey job, int attempt, boolean borrowed, List<Member> members)
      implements LogRecord {
    /** Copies the members. */
    public Placed {
      members = List.copyOf(members);
    }
  }

  /**
   * The planner wants the room of an attempt back. Valid in the current epoch while the attempt is
   * the job's own.
   *
   * @param epoch the planner's epoch
   * @param job the job
   * @param token the attempt's token
   * @param owner the organisation whose guarantee needs the room
   */
  record ReclaimRequested(long epoch, JobKey job, long token, OrganisationId owner)
      implements LogRecord {}

  /**
   * The planner refuses a job that can never run. Valid in the current epoch while the job is
   * queued and was never started.
   *
   * @param epoch the planner's epoch
   * @param job the job
   * @param reason the proof, for the caller
   */
  record JobRefused(long epoch, JobKey job, String reason) implements LogRecord {}

  /**
   * All members are prepared and may run once this record is read back. Valid while the attempt is
   * placed and neither cancelled nor reclaimed; at most once in the life of a non-idempotent job.
   *
   * @param job the job
   * @param token the attempt's token
   * @param leases id of the lease that each member's worker gave, by member number; only these may
   *     be started, so that a lease taken later under the same token never runs
   */
  record Started(JobKey job, long token, List<String> leases) implements LogRecord {
    /** Copies the leases. */
    public Started {
      leases = List.copyOf(leases);
    }
  }

  /**
   * An attempt is over. Valid while the attempt is the job's own, with an end that fits its phase.
   *
   * @param job the job
   * @param token the attempt's token
   * @param end how it ended
   * @param answer the whole answer, with {@link AttemptEnd#SUCCEEDED} alone
   * @param worker the worker at fault, null where none is
   * @param reason what was seen, for the caller; may be null
   */
  record AttemptEnded(
      JobKey job, long token, AttemptEnd end, Answer answer, WorkerId worker, String reason)
      implements LogRecord {}

  /**
   * Every lease of an attempt was given back or has lapsed, so that its accelerators are free.
   * Valid once the attempt is over.
   *
   * @param token the attempt's token
   */
  record Released(long token) implements LogRecord {}

  /**
   * An operator declares an organisation. Valid if its revision is still the expected one.
   *
   * @param id the organisation
   * @param organisation the declaration
   * @param expectedRevision the revision the change was made from, 0 where there was none
   */
  record OrganisationPut(OrganisationId id, Organisation organisation, long expectedRevision)
      implements LogRecord {}

  /**
   * An operator removes an organisation. Valid if its revision is still the expected one.
   *
   * @param id the organisation
   * @param expectedRevision the revision the change was made from
   */
  record OrganisationDeleted(OrganisationId id, long expectedRevision) implements LogRecord {}
}
