package org.peridotroute.fold;

import java.util.Optional;
import org.pcollections.TreePMap;
import org.peridotroute.lib.AcceleratorId;
import org.peridotroute.lib.JobKey;

/**
 * State of the journal stream as of one offset. Immutable, built on persistent collections:
 * successive states share the unchanged parts, and any thread may keep a state and read it without
 * locking.
 *
 * @param offset offset of the last record applied, 0 before the first
 * @param planner the current planner, null before the first claim
 * @param jobs jobs by key, including ended jobs until they are evicted
 * @param allocations allocations by fencing token of the attempt
 * @param holders fencing token of the holding attempt by accelerator
 * @param ended keys of ended jobs by the offset at which they ended
 * @param keptChars total length of the payloads and answers kept, in characters
 * @param writers last sequence number of each writer
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
  /** State before the first record. */
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
   * Looks up a job.
   *
   * @param key key of the job
   * @return the job, or empty if it does not exist or was evicted
   */
  public Optional<Job> job(JobKey key) {
    return Optional.ofNullable(jobs.get(key));
  }

  /** Returns the current planner epoch, 0 before the first claim. */
  public long epoch() {
    return planner == null ? 0 : planner.epoch();
  }

  /** Returns the number of jobs that have not ended. */
  public int openJobs() {
    return jobs.size() - ended.size();
  }

  JobState advanceTo(long nextOffset, WriterSequences nextWriters) {
    return new JobState(
        nextOffset, planner, jobs, allocations, holders, ended, keptChars, nextWriters);
  }

  JobState withPlanner(PlannerClaim claim) {
    return new JobState(offset, claim, jobs, allocations, holders, ended, keptChars, writers);
  }

  /** Returns a copy with a job added or replaced, which is also listed as ended if it has ended. */
  JobState withJob(Job job) {
    Job previous = jobs.get(job.key());
    long chars = keptChars + charCount(job) - (previous == null ? 0 : charCount(previous));
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

  /** Returns a copy with a new allocation, whose accelerators are marked as held. */
  JobState withAllocation(Allocation allocation) {
    TreePMap<AcceleratorId, Long> nextHolders = holders;
    for (AcceleratorId id : allocation.acceleratorIds()) {
      nextHolders = nextHolders.plus(id, allocation.token());
    }
    return withAllocations(allocations.plus(allocation.token(), allocation), nextHolders);
  }

  /** Returns a copy with an allocation replaced by one with the same accelerators. */
  JobState withUpdatedAllocation(Allocation allocation) {
    return withAllocations(allocations.plus(allocation.token(), allocation), holders);
  }

  JobState withReleasing(long token) {
    return withUpdatedAllocation(allocations.get(token).toReleasing());
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
   * Returns the length of the texts that a job keeps in memory.
   *
   * @param job the job
   * @return characters of its payload and of its answer
   */
  public static long charCount(Job job) {
    long answer = job.answer() == null ? 0 : job.answer().body().length();
    return job.spec().payload().length() + answer;
  }
}
