package org.peridotroute.server.service;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.peridotroute.control.Proposals;
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
 * Folds both streams on one thread, publishes each state, then tells the verdicts to whoever
 * proposed the records.
 */
public final class FoldService implements RingConsumer<StreamReader.ReadBatch> {
  private static final int RING_SLOTS = 64;
  private static final long TICK_MILLIS = 1_000;

  private final SnapshotStore store;
  private final FoldedState state;
  private final ProcessHealth health;
  private final Proposals journalProposals;
  private final Proposals configProposals;
  private final Runnable onChange;
  private final EventRing<StreamReader.ReadBatch> ring;
  private final StreamReader journal;
  private final StreamReader config;

  /**
   * Creates the service.
   *
   * @param log the log
   * @param store snapshots, for when records are past retention
   * @param state where states are published
   * @param health told when the streams were read to their ends
   * @param journalProposals this process's proposals to the journal
   * @param configProposals this process's proposals to the configuration
   * @param onChange called after each published state
   * @param onBrokenInvariant told when the fold throws
   */
  public FoldService(
      LogClient log,
      SnapshotStore store,
      FoldedState state,
      ProcessHealth health,
      Proposals journalProposals,
      Proposals configProposals,
      Runnable onChange,
      Consumer<Throwable> onBrokenInvariant) {
    this.store = store;
    this.state = state;
    this.health = health;
    this.journalProposals = journalProposals;
    this.configProposals = configProposals;
    this.onChange = onChange;
    ring = new EventRing<>("fold", RING_SLOTS, TICK_MILLIS, this, onBrokenInvariant);
    journal = new StreamReader(Streams.JOURNAL, log, health, ring::put, this::reload);
    config = new StreamReader(Streams.CONFIG, log, health, ring::put, this::reload);
  }

  /**
   * Starts folding and reading.
   *
   * @param snapshot the state to begin with
   */
  public void start(Snapshot snapshot) {
    state.load(snapshot);
    ring.start();
    config.start(state.config().offset() + 1);
    journal.start(state.jobs().offset() + 1);
  }

  /** Stops reading and folding; open proposals fail as unknown. */
  public void stop() {
    journal.stop();
    config.stop();
    ring.stop();
    journalProposals.abandon();
    configProposals.abandon();
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
    boolean isJournal = batch.stream().equals(Streams.JOURNAL);
    for (LogEntry entry : batch.entries()) {
      if (isJournal && entry.offset() > state.jobs().offset()) {
        foldJournal(entry);
      }
      if (!isJournal && entry.offset() > state.config().offset()) {
        foldConfig(entry);
      }
    }
    if (isJournal && state.jobs().offset() + 1 >= batch.endOffset()) {
      health.journalCaughtUp();
    }
    if (!isJournal && state.config().offset() + 1 >= batch.endOffset()) {
      health.configCaughtUp();
    }
  }

  @Override
  public void onBatchEnd() {
    onChange.run();
  }

  private long reload(String stream) throws InterruptedException {
    try {
      Optional<Snapshot> snapshot = store.readNewest();
      if (snapshot.isEmpty()) {
        return 0;
      }
      ring.put(new StreamReader.ReadBatch(stream, List.of(), 0, snapshot.get()));
      boolean isJournal = stream.equals(Streams.JOURNAL);
      return 1 + (isJournal ? snapshot.get().jobs().offset() : snapshot.get().config().offset());
    } catch (LogUnavailableException e) {
      return 0;
    }
  }

  private void load(Snapshot snapshot) {
    state.load(snapshot);
    journalProposals.skip(state.jobs().writers());
    configProposals.skip(state.config().writers());
  }

  private void foldJournal(LogEntry entry) {
    FoldResult<JobState> folded = JobFold.fold(state.jobs(), entry);
    state.publish(folded.state());
    if (folded.verdict().isAccepted()) {
      changedJob(entry.envelope().record())
          .flatMap(folded.state()::job)
          .ifPresent(
              job ->
                  state
                      .jobHistory()
                      .add(entry.offset(), job.key().toString(), JobView.of(job, folded.state())));
    }
    journalProposals.resolve(entry, folded.verdict());
  }

  private void foldConfig(LogEntry entry) {
    FoldResult<ConfigState> folded = ConfigFold.fold(state.config(), entry);
    state.publish(folded.state());
    LogRecord record = entry.envelope().record();
    if (folded.verdict().isAccepted() && record instanceof LogRecord.OrganisationPut put) {
      state.organisationHistory().add(entry.offset(), put.id().value(), put.organisation());
    }
    if (folded.verdict().isAccepted() && record instanceof LogRecord.OrganisationDeleted gone) {
      state.organisationHistory().add(entry.offset(), gone.id().value(), null);
    }
    configProposals.resolve(entry, folded.verdict());
  }

  /** Returns the job that a record is about, if it is about one. */
  static Optional<JobKey> changedJob(LogRecord record) {
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
