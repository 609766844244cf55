package org.peridotroute.fold;

import java.util.Optional;
import org.pcollections.TreePMap;
import org.peridotroute.lib.AcceleratorId;
import org.peridotroute.lib.Incarnation;
import org.peridotroute.lib.JobKey;

/**
 * All that the journal stream says, up to one offset. Immutable and persistent: a next state shares
 * what did not change, so that any thread may keep a state and read it without locks.
 *
 * @param offset offset of the last record folded, 0 before the first
 * @param planner who plans, null before the first claim
 * @param jobs jobs by key, ended ones among them until they are evicted
 * @param allocations held accelerators by attempt token
 * @param holders attempt token by held accelerator
 * @param ended keys of ended jobs by the offset at which they ended
 * @param answerBytes bytes of the answers kept
 * @param sequences last sequence folded by writer
 * @param writerRevisions writers by the offset of their last record
 */
public record JobState(
    long offset,
    PlannerClaim planner,
    TreePMap<JobKey, Job> jobs,
    TreePMap<Long, Allocation> allocations,
    TreePMap<AcceleratorId, Long> holders,
    TreePMap<Long, JobKey> ended,
    long answerBytes,
    TreePMap<Incarnation, WriterMark> sequences,
    TreePMap<Long, Incarnation> writerRevisions) {
  /** The state before the first record. */
  public static final JobState EMPTY =
      new JobState(
          0,
          null,
          TreePMap.empty(),
          TreePMap.empty(),
          TreePMap.empty(),
          TreePMap.empty(),
          0,
          TreePMap.empty(),
          TreePMap.empty());

  /**
   * How far a writer has come.
   *
   * @param sequence its last sequence
   * @param revision offset of that record
   */
  public record WriterMark(long sequence, long revision) {}

  /**
   * Finds a job.
   *
   * @param key its key
   * @return the job, or empty if there is none or it was evicted
   */
  public Optional<Job> job(JobKey key) {
    return Optional.ofNullable(jobs.get(key));
  }

  /** Returns the current planner epoch, 0 where nobody has claimed. */
  public long epoch() {
    return planner == null ? 0 : planner.epoch();
  }

  JobState withOffset(long value) {
    return new JobState(
        value, planner, jobs, allocations, holders, ended, answerBytes, sequences, writerRevisions);
  }

  JobState withPlanner(PlannerClaim value) {
    return new JobState(
        offset, value, jobs, allocations, holders, ended, answerBytes, sequences, writerRevisions);
  }

  JobState withJob(Job job) {
    return new JobState(
        offset,
        planner,
        jobs.plus(job.key(), job),
        allocations,
        holders,
        ended,
        answerBytes,
        sequences,
        writerRevisions);
  }

  JobState withAllocation(Allocation allocation) {
    TreePMap<AcceleratorId, Long> nextHolders = holders;
    for (AcceleratorId id : allocation.acceleratorIds()) {
      nextHolders = nextHolders.plus(id, allocation.token());
    }
    return new JobState(
        offset,
        planner,
        jobs,
        allocations.plus(allocation.token(), allocation),
        nextHolders,
        ended,
        answerBytes,
        sequences,
        writerRevisions);
  }

  JobState withReleasing(long token) {
    return withChanged(allocations.get(token).toReleasing());
  }

  JobState withChanged(Allocation held) {
    return new JobState(
        offset,
        planner,
        jobs,
        allocations.plus(held.token(), held),
        holders,
        ended,
        answerBytes,
        sequences,
        writerRevisions);
  }

  JobState withoutAllocation(Allocation allocation) {
    return new JobState(
        offset,
        planner,
        jobs,
        allocations.minus(allocation.token()),
        holders.minusAll(allocation.acceleratorIds()),
        ended,
        answerBytes,
        sequences,
        writerRevisions);
  }

  JobState withEnded(Job job) {
    return new JobState(
        offset,
        planner,
        jobs.plus(job.key(), job),
        allocations,
        holders,
        ended.plus(job.revision(), job.key()),
        answerBytes + bytes(job),
        sequences,
        writerRevisions);
  }

  JobState withoutOldestEnded() {
    long oldest = ended.firstKey();
    JobKey key = ended.get(oldest);
    return new JobState(
        offset,
        planner,
        jobs.minus(key),
        allocations,
        holders,
        ended.minus(oldest),
        answerBytes - bytes(jobs.get(key)),
        sequences,
        writerRevisions);
  }

  JobState withWriter(Incarnation writer, long sequence) {
    WriterMark before = sequences.get(writer);
    TreePMap<Long, Incarnation> revisions =
        before == null ? writerRevisions : writerRevisions.minus(before.revision());
    return new JobState(
        offset,
        planner,
        jobs,
        allocations,
        holders,
        ended,
        answerBytes,
        sequences.plus(writer, new WriterMark(sequence, offset)),
        revisions.plus(offset, writer));
  }

  JobState withoutOldestWriter() {
    long oldest = writerRevisions.firstKey();
    return new JobState(
        offset,
        planner,
        jobs,
        allocations,
        holders,
        ended,
        answerBytes,
        sequences.minus(writerRevisions.get(oldest)),
        writerRevisions.minus(oldest));
  }

  private static long bytes(Job job) {
    return job.answer() == null ? 0 : job.answer().body().length();
  }
}
