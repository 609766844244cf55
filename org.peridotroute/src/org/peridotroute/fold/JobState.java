package org.peridotroute.fold;

import java.util.Optional;
import org.pcollections.TreePMap;
import org.peridotroute.lib.AcceleratorId;
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
 * @param keptChars characters of the payloads and answers kept
 * @param writers how far each writer has come
 */
public record JobState(
    long offset,
    PlannerClaim planner,
    TreePMap<JobKey, Job> jobs,
    TreePMap<Long, Allocation> allocations,
    TreePMap<AcceleratorId, Long> holders,
    TreePMap<Long, JobKey> ended,
    long keptChars,
    WriterSequences writers) {
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
          WriterSequences.EMPTY);

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

  /** Returns the number of jobs that have not ended. */
  public int openJobs() {
    return jobs.size() - ended.size();
  }

  JobState at(long nextOffset, WriterSequences nextWriters) {
    return new JobState(
        nextOffset, planner, jobs, allocations, holders, ended, keptChars, nextWriters);
  }

  JobState withPlanner(PlannerClaim claim) {
    return new JobState(offset, claim, jobs, allocations, holders, ended, keptChars, writers);
  }

  /** Returns the state with a job added or changed, and counted as ended if it is. */
  JobState withJob(Job job) {
    Job before = jobs.get(job.key());
    long chars = keptChars + charCount(job) - (before == null ? 0 : charCount(before));
    return new JobState(
        offset,
        planner,
        jobs.plus(job.key(), job),
        allocations,
        holders,
        job.isEnded() ? ended.plus(job.revision(), job.key()) : ended,
        chars,
        writers);
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
        keptChars - charCount(jobs.get(key)),
        writers);
  }

  /** Returns the state with accelerators newly held. */
  JobState withAllocation(Allocation allocation) {
    TreePMap<AcceleratorId, Long> nextHolders = holders;
    for (AcceleratorId id : allocation.acceleratorIds()) {
      nextHolders = nextHolders.plus(id, allocation.token());
    }
    return withAllocations(allocations.plus(allocation.token(), allocation), nextHolders);
  }

  /** Returns the state with an allocation changed in something else than its accelerators. */
  JobState withChanged(Allocation allocation) {
    return withAllocations(allocations.plus(allocation.token(), allocation), holders);
  }

  JobState withReleasing(long token) {
    return withChanged(allocations.get(token).toReleasing());
  }

  JobState withoutAllocation(Allocation allocation) {
    return withAllocations(
        allocations.minus(allocation.token()), holders.minusAll(allocation.acceleratorIds()));
  }

  private JobState withAllocations(
      TreePMap<Long, Allocation> nextAllocations, TreePMap<AcceleratorId, Long> nextHolders) {
    return new JobState(
        offset, planner, jobs, nextAllocations, nextHolders, ended, keptChars, writers);
  }

  /**
   * Returns the characters that a job keeps in memory.
   *
   * @param job the job
   * @return those of its payload and of its answer
   */
  public static long charCount(Job job) {
    long answer = job.answer() == null ? 0 : job.answer().body().length();
    return job.spec().payload().length() + answer;
  }
}
