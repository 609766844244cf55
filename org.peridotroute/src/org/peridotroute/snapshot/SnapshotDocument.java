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
 * A snapshot as it is stored. What can be worked out from the rest is left out.
 *
 * @param journalOffset offset up to which the journal is folded
 * @param configOffset offset up to which the configuration is folded
 * @param planner who plans, null where nobody does
 * @param jobs jobs
 * @param allocations held accelerators
 * @param journalWriters how far each writer of the journal has come
 * @param organisations declared organisations
 * @param configWriters how far each writer of the configuration has come
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

  /** How far a writer has come. */
  record StoredWriter(Incarnation writer, long sequence, long revision) {}

  /** An organisation with its revision. */
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
        store(jobs.writers()),
        config.organisations().entrySet().stream().map(SnapshotDocument::store).toList(),
        store(config.writers()));
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
    TreePMap<Long, Allocation> byToken = TreePMap.empty();
    TreePMap<AcceleratorId, Long> holders = TreePMap.empty();
    for (Allocation held : allocations) {
      byToken = byToken.plus(held.token(), held);
      for (AcceleratorId id : held.acceleratorIds()) {
        holders = holders.plus(id, held.token());
      }
    }
    JobState state =
        new JobState(
            journalOffset,
            planner,
            jobsByKey,
            byToken,
            holders,
            ended,
            keptChars,
            load(journalWriters));
    return new Snapshot(state, config());
  }

  private ConfigState config() {
    TreePMap<OrganisationId, ConfigState.DeclaredOrganisation> declared = TreePMap.empty();
    for (StoredOrganisation stored : organisations) {
      declared =
          declared.plus(
              stored.id(),
              new ConfigState.DeclaredOrganisation(stored.organisation(), stored.revision()));
    }
    return new ConfigState(configOffset, declared, load(configWriters));
  }

  private static StoredOrganisation store(
      Map.Entry<OrganisationId, ConfigState.DeclaredOrganisation> entry) {
    ConfigState.DeclaredOrganisation declared = entry.getValue();
    return new StoredOrganisation(entry.getKey(), declared.organisation(), declared.revision());
  }

  private static List<StoredWriter> store(WriterSequences writers) {
    return writers.marks().entrySet().stream()
        .map(
            entry ->
                new StoredWriter(
                    entry.getKey(), entry.getValue().sequence(), entry.getValue().revision()))
        .toList();
  }

  private static WriterSequences load(List<StoredWriter> stored) {
    WriterSequences writers = WriterSequences.EMPTY;
    for (StoredWriter writer : stored) {
      writers = writers.plus(writer.writer(), writer.sequence(), writer.revision());
    }
    return writers;
  }
}
