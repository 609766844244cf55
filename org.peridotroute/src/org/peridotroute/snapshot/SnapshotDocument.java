package org.peridotroute.snapshot;

import java.util.List;
import java.util.Map;
import org.pcollections.TreePMap;
import org.peridotroute.fold.Allocation;
import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.Job;
import org.peridotroute.fold.JobState;
import org.peridotroute.fold.PlannerClaim;
import org.peridotroute.fold.WriterSequences;
import org.peridotroute.lib.AcceleratorId;
import org.peridotroute.lib.Incarnation;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;

/**
 * Stored form of a snapshot. Values that can be derived from others are left out.
 *
 * @param journalOffset offset of the last journal record applied
 * @param configOffset offset of the last configuration record applied
 * @param planner the current planner, null before the first claim
 * @param jobs jobs that are not evicted
 * @param allocations held accelerators
 * @param journalWriters position of each writer of the journal
 * @param organisations declared organisations
 * @param configWriters position of each writer of the configuration
 */
record SnapshotDocument(
    long journalOffset,
    long configOffset,
    PlannerClaim planner,
    List<Job> jobs,
    List<Allocation> allocations,
    List<StoredWriter> journalWriters,
    List<StoredOrganisation> organisations,
    List<StoredWriter> configWriters) {

  /** Sequence number and offset of a writer's last record. */
  record StoredWriter(Incarnation writer, long sequence, long revision) {}

  /** An organisation and the revision of its declaration. */
  record StoredOrganisation(OrganisationId id, Organisation organisation, long revision) {}

  static SnapshotDocument of(Snapshot snapshot) {
    JobState jobs = snapshot.jobs();
    ConfigState config = snapshot.config();
    return new SnapshotDocument(
        jobs.offset(),
        config.offset(),
        jobs.planner(),
        List.copyOf(jobs.jobs().values()),
        List.copyOf(jobs.allocations().values()),
        toStoredWriters(jobs.writers()),
        config.organisations().entrySet().stream()
            .map(SnapshotDocument::toStoredOrganisation)
            .toList(),
        toStoredWriters(config.writers()));
  }

  Snapshot toSnapshot() {
    TreePMap<JobKey, Job> jobsByKey = TreePMap.empty();
    TreePMap<Long, JobKey> ended = TreePMap.empty();
    long keptChars = 0;
    for (Job job : jobs) {
      jobsByKey = jobsByKey.plus(job.key(), job);
      keptChars += JobState.charCount(job);
      if (job.isEnded()) {
        ended = ended.plus(job.revision(), job.key());
      }
    }
    TreePMap<Long, Allocation> allocationsByToken = TreePMap.empty();
    TreePMap<AcceleratorId, Long> holders = TreePMap.empty();
    for (Allocation allocation : allocations) {
      allocationsByToken = allocationsByToken.plus(allocation.token(), allocation);
      for (AcceleratorId id : allocation.acceleratorIds()) {
        holders = holders.plus(id, allocation.token());
      }
    }
    JobState state =
        new JobState(
            journalOffset,
            planner,
            jobsByKey,
            allocationsByToken,
            holders,
            ended,
            keptChars,
            toWriterSequences(journalWriters));
    return new Snapshot(state, toConfigState());
  }

  private ConfigState toConfigState() {
    TreePMap<OrganisationId, ConfigState.DeclaredOrganisation> declared = TreePMap.empty();
    for (StoredOrganisation stored : organisations) {
      declared =
          declared.plus(
              stored.id(),
              new ConfigState.DeclaredOrganisation(stored.organisation(), stored.revision()));
    }
    return new ConfigState(configOffset, declared, toWriterSequences(configWriters));
  }

  private static StoredOrganisation toStoredOrganisation(
      Map.Entry<OrganisationId, ConfigState.DeclaredOrganisation> entry) {
    ConfigState.DeclaredOrganisation declared = entry.getValue();
    return new StoredOrganisation(entry.getKey(), declared.organisation(), declared.revision());
  }

  private static List<StoredWriter> toStoredWriters(WriterSequences writers) {
    return writers.marks().entrySet().stream()
        .map(
            entry ->
                new StoredWriter(
                    entry.getKey(), entry.getValue().sequence(), entry.getValue().revision()))
        .toList();
  }

  private static WriterSequences toWriterSequences(List<StoredWriter> stored) {
    WriterSequences writers = WriterSequences.EMPTY;
    for (StoredWriter writer : stored) {
      writers = writers.plus(writer.writer(), writer.sequence(), writer.revision());
    }
    return writers;
  }
}
