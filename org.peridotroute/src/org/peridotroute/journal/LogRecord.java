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

/**
 * A change proposed on the log. It takes effect only if the fold accepts it. Immutable. The type
 * names are part of the stored format.
 */
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
   * A caller submits a job. Valid if the organisation has no job of that name.
   *
   * @param job key of the new job
   * @param spec the caller's specification
   * @param requestId id of the caller's request, for logs
   */
  record JobSubmitted(JobKey job, JobSpec spec, String requestId) implements LogRecord {}

  /**
   * A caller cancels a job. Valid if the job exists, has not ended and is not being cancelled yet.
   *
   * @param job the job
   * @param requestId id of the caller's request, for logs
   */
  record CancelRequested(JobKey job, String requestId) implements LogRecord {}

  /**
   * A VM claims the planner role. Valid if the epoch to replace is still the current one. The
   * offset of the record becomes the new epoch.
   *
   * @param vm the VM
   * @param replacedEpoch the epoch to replace, 0 if there was none
   */
  record PlannerClaimed(VmId vm, long replacedEpoch) implements LogRecord {}

  /**
   * The planner renews its claim. Valid in the current epoch.
   *
   * @param epoch the planner's epoch
   */
  record PlannerRenewed(long epoch) implements LogRecord {}

  /**
   * The planner places a queued job. Valid in the current epoch if the attempt number is the job's
   * next one, the members match the shape and every accelerator is free. The offset of the record
   * becomes the fencing token of the attempt.
   *
   * @param epoch the planner's epoch
   * @param job the job
   * @param attempt number of the attempt, from 1
   * @param borrowed whether the accelerators are outside the organisation's guarantees
   * @param members placement of each member, in the order of member indices
   */
  record Placed(long epoch, JobKey job, int attempt, boolean borrowed, List<Member> members)
      implements LogRecord {
    /** Makes a defensive copy of the members. */
    public Placed {
      members = List.copyOf(members);
    }
  }

  /**
   * The planner requests the reclaim of a borrowed attempt's accelerators. Valid once per attempt,
   * in the current epoch and while the attempt is the job's current one.
   *
   * @param epoch the planner's epoch
   * @param job the job
   * @param token fencing token of the attempt
   * @param owner organisation whose guarantee needs the accelerators
   */
  record ReclaimRequested(long epoch, JobKey job, long token, OrganisationId owner)
      implements LogRecord {}

  /**
   * The planner refuses a job that can never run. Valid in the current epoch while the job is
   * queued and has never been started.
   *
   * @param epoch the planner's epoch
   * @param job the job
   * @param reason why the job can never run, for the caller
   */
  record JobRefused(long epoch, JobKey job, String reason) implements LogRecord {}

  /**
   * All members are prepared and may be started once this record has been read back. Valid while
   * the attempt is placed and neither cancelled nor reclaimed; at most once for a non-idempotent
   * job.
   *
   * @param job the job
   * @param token fencing token of the attempt
   * @param leases id of the lease granted by each member's worker, in the order of member indices;
   *     only these may be started, so that a lease granted later under the same token never runs
   */
  record Started(JobKey job, long token, List<String> leases) implements LogRecord {
    /** Makes a defensive copy of the leases. */
    public Started {
      leases = List.copyOf(leases);
    }
  }

  /**
   * An attempt has ended. Valid while the attempt is the job's current one and the end is possible
   * in the job's phase.
   *
   * @param job the job
   * @param token fencing token of the attempt
   * @param end how the attempt ended
   * @param answer the complete answer, only with {@link AttemptEnd#SUCCEEDED}
   * @param worker the worker at fault, null if there is none
   * @param reason cause of the end, for the caller; may be null
   */
  record AttemptEnded(
      JobKey job, long token, AttemptEnd end, Answer answer, WorkerId worker, String reason)
      implements LogRecord {}

  /**
   * Every lease of an attempt has been released or has expired, so its accelerators are free. Valid
   * once the attempt has ended.
   *
   * @param token fencing token of the attempt
   */
  record Released(long token) implements LogRecord {}

  /**
   * An operator declares an organisation. Valid if its current revision is the expected one.
   *
   * @param id the organisation
   * @param organisation the declaration
   * @param expectedRevision revision that the change is based on, 0 for a new organisation
   */
  record OrganisationPut(OrganisationId id, Organisation organisation, long expectedRevision)
      implements LogRecord {}

  /**
   * An operator deletes an organisation. Valid if its current revision is the expected one.
   *
   * @param id the organisation
   * @param expectedRevision revision that the change is based on
   */
  record OrganisationDeleted(OrganisationId id, long expectedRevision) implements LogRecord {}
}
