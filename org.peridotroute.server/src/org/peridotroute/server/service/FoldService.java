package org.peridotroute.server.service;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.peridotroute.control.PendingProposals;
import org.peridotroute.errors.LogUnavailableException;
import org.peridotroute.fold.ConfigFold;
import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.FoldResult;
import org.peridotroute.fold.JobFold;
import org.peridotroute.fold.JobState;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.JobKey;
import org.peridotroute.platform.LogClient;
import org.peridotroute.server.client.SnapshotStore;
import org.peridotroute.server.ring.EventRing;
import org.peridotroute.server.ring.RingConsumer;
import org.peridotroute.server.view.JobView;
import org.peridotroute.snapshot.Snapshot;

/**
 * Applies the records of both streams to the state on one thread. Publishes the state after each
 * record and then completes the proposal of the record with its verdict.
 */
public final class FoldService implements RingConsumer<StreamReader.ReadBatch> {
  private static final int RING_SLOTS = 64;
  private static final long TICK_MILLIS = 1_000;

  private final SnapshotStore store;
  private final FoldedState state;
  private final ProcessHealth health;
  private final PendingProposals journalProposals;
  private final PendingProposals configProposals;
  private final Runnable onChange;
  private final EventRing<StreamReader.ReadBatch> ring;
  private final StreamReader journal;
  private final StreamReader config;

  /**
   * Creates the service.
   *
   * @param log the log
   * @param store reads snapshots when records have passed the log's retention
   * @param state receives each new state
   * @param health updated when the streams have been read to their ends
   * @param journalProposals pending proposals of this process to the journal
   * @param configProposals pending proposals of this process to the configuration stream
   * @param onChange called after each batch of records, and at each tick
   * @param onBrokenInvariant called with the exception when applying a record throws
   */
  public FoldService(
      LogClient log,
      SnapshotStore store,
      FoldedState state,
      ProcessHealth health,
      PendingProposals journalProposals,
      PendingProposals configProposals,
      Runnable onChange,
      Consumer<Throwable> onBrokenInvariant) {
    this.store = store;
    this.state = state;
    this.health = health;
    this.journalProposals = journalProposals;
    this.configProposals = configProposals;
    this.onChange = onChange;
    ring = new EventRing<>("fold", RING_SLOTS, TICK_MILLIS, this, onBrokenInvariant);
    journal = new StreamReader(StreamNames.JOURNAL, log, health, ring::put, this::reloadSnapshot);
    config = new StreamReader(StreamNames.CONFIG, log, health, ring::put, this::reloadSnapshot);
  }

  /**
   * Starts reading both streams and applying their records.
   *
   * @param snapshot the initial state
   */
  public void start(Snapshot snapshot) {
    state.loadIfNewer(snapshot);
    ring.start();
    config.start(state.config().offset() + 1);
    journal.start(state.jobs().offset() + 1);
  }

  /** Stops reading and applying records; pending proposals fail with an unknown outcome. */
  public void stop() {
    journal.stop();
    config.stop();
    ring.stop();
    journalProposals.failAll();
    configProposals.failAll();
  }

  /** Returns the ring, for the dump. */
  public EventRing<StreamReader.ReadBatch> ring() {
    return ring;
  }

  @Override
  public void onEvent(StreamReader.ReadBatch batch) {
    if (batch.snapshot() != null) {
      load(batch.snapshot());
      return;
    }
    boolean isJournal = batch.stream().equals(StreamNames.JOURNAL);
    for (LogEntry entry : batch.entries()) {
      if (isJournal && entry.offset() > state.jobs().offset()) {
        applyJournalEntry(entry);
      }
      if (!isJournal && entry.offset() > state.config().offset()) {
        applyConfigEntry(entry);
      }
    }
    if (isJournal && state.jobs().offset() + 1 >= batch.endOffset()) {
      health.onJournalCaughtUp();
    }
    if (!isJournal && state.config().offset() + 1 >= batch.endOffset()) {
      health.onConfigCaughtUp();
    }
  }

  @Override
  public void onBatchEnd() {
    onChange.run();
  }

  private long reloadSnapshot(String stream) throws InterruptedException {
    try {
      Optional<Snapshot> snapshot = store.readNewest();
      if (snapshot.isEmpty()) {
        return 0;
      }
      ring.put(new StreamReader.ReadBatch(stream, List.of(), 0, snapshot.get()));
      boolean isJournal = stream.equals(StreamNames.JOURNAL);
      return 1 + (isJournal ? snapshot.get().jobs().offset() : snapshot.get().config().offset());
    } catch (LogUnavailableException e) {
      return 0;
    }
  }

  private void load(Snapshot snapshot) {
    state.loadIfNewer(snapshot);
    journalProposals.failUpTo(state.jobs().writers());
    configProposals.failUpTo(state.config().writers());
  }

  private void applyJournalEntry(LogEntry entry) {
    FoldResult<JobState> folded = JobFold.fold(state.jobs(), entry);
    state.publish(folded.state());
    if (folded.verdict().isAccepted()) {
      jobOf(entry.envelope().record())
          .flatMap(folded.state()::job)
          .ifPresent(
              job ->
                  state
                      .jobHistory()
                      .add(entry.offset(), job.key().toString(), JobView.of(job, folded.state())));
    }
    journalProposals.resolve(entry, folded.verdict());
  }

  private void applyConfigEntry(LogEntry entry) {
    FoldResult<ConfigState> folded = ConfigFold.fold(state.config(), entry);
    state.publish(folded.state());
    LogRecord record = entry.envelope().record();
    if (folded.verdict().isAccepted() && record instanceof LogRecord.OrganisationPut put) {
      state.organisationHistory().add(entry.offset(), put.id().value(), put.organisation());
    }
    if (folded.verdict().isAccepted() && record instanceof LogRecord.OrganisationDeleted deleted) {
      state.organisationHistory().add(entry.offset(), deleted.id().value(), null);
    }
    configProposals.resolve(entry, folded.verdict());
  }

  /** Returns the job that a record refers to by its key, or empty if it refers to none. */
  static Optional<JobKey> jobOf(LogRecord record) {
    if (record instanceof LogRecord.JobSubmitted submitted) {
      return Optional.of(submitted.job());
    }
    if (record instanceof LogRecord.CancelRequested cancel) {
      return Optional.of(cancel.job());
    }
    if (record instanceof LogRecord.Placed placed) {
      return Optional.of(placed.job());
    }
    if (record instanceof LogRecord.ReclaimRequested reclaim) {
      return Optional.of(reclaim.job());
    }
    if (record instanceof LogRecord.JobRefused refused) {
      return Optional.of(refused.job());
    }
    if (record instanceof LogRecord.Started started) {
      return Optional.of(started.job());
    }
    if (record instanceof LogRecord.AttemptEnded ended) {
      return Optional.of(ended.job());
    }
    return Optional.empty();
  }
}
