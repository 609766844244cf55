package org.peridotroute.scheduler.node;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.peridotroute.errors.RecordFormatException;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.table.PreparedSubmission;
import org.peridotroute.scheduler.table.RequestCodec;

/**
 * Handles the submissions and cancellations that are read from the log. Confined to the control
 * thread.
 */
final class RequestListener implements TopicFollower.Listener {
  /**
   * Callbacks to the VM.
   *
   * @param onSubmitted called with each valid submission
   * @param onCancelled called with each job that is cancelled
   * @param onReplaced called on the planner with each accepted job whose record on the log was
   *     replaced by an invalid one
   */
  record Callbacks(
      Consumer<Submission> onSubmitted, Consumer<JobId> onCancelled, Consumer<JobId> onReplaced) {}

  private final Map<JobId, JobEntry> entries;
  private final RequestWriter writer;
  private final EarlyCancellations earlyCancellations;
  private final Events events;
  private final BooleanSupplier isPlanning;
  private final Callbacks callbacks;

  RequestListener(
      Map<JobId, JobEntry> entries,
      RequestWriter writer,
      EarlyCancellations earlyCancellations,
      Events events,
      BooleanSupplier isPlanning,
      Callbacks callbacks) {
    this.entries = entries;
    this.writer = writer;
    this.earlyCancellations = earlyCancellations;
    this.events = events;
    this.isPlanning = isPlanning;
    this.callbacks = callbacks;
  }

  @Override
  public void onRead(boolean empty, long sentMillis, long endOffset) {
    writer.onLogReply(sentMillis);
  }

  @Override
  public void onLoaded(Set<String> keys) {
    earlyCancellations.idsWithout(keys).forEach(this::forgetCancellation);
  }

  @Override
  public void onRecord(KeyedRecord record) {
    Optional<JobId> cancelled = RequestCodec.cancelledJob(record);
    if (cancelled.isPresent()) {
      onCancellation(cancelled.get(), record);
      return;
    }
    Optional<JobId> submitted = RequestCodec.submittedJob(record);
    if (submitted.isEmpty() || record.value() == null) {
      return;
    }
    try {
      onSubmission(submitted.get(), record);
    } catch (RecordFormatException e) {
      events.warn("request-unreadable", "key", record.key(), "reason", e.getMessage());
    }
  }

  private void onCancellation(JobId id, KeyedRecord record) {
    if (record.value() == null) {
      forgetCancellation(id);
      return;
    }
    callbacks.onCancelled().accept(id);
    if (!JobEntry.isKnown(entries, id)) {
      earlyCancellations.add(id, record.offset());
    }
  }

  private void forgetCancellation(JobId id) {
    earlyCancellations.remove(id);
    JobEntry entry = entries.get(id);
    if (entry == null) {
      return;
    }
    entry.unmarkCancelled();
    if (entry.submission() == null && entry.progress() == null) {
      entries.remove(id);
    }
  }

  private void onSubmission(JobId id, KeyedRecord record) throws RecordFormatException {
    boolean known = JobEntry.isKnown(entries, id);
    if (known && !isPlanning.getAsBoolean()) {
      return;
    }
    PreparedSubmission prepared = RequestCodec.readSubmission(record);
    if (!prepared.isTooLate(record.offset())) {
      callbacks.onSubmitted().accept(prepared.submission());
      return;
    }
    events.warn(
        "submission-too-late",
        "job",
        id,
        "offset",
        record.offset(),
        "preparedAtOffset",
        prepared.preparedAtOffset());
    if (known) {
      callbacks.onReplaced().accept(id);
    }
  }
}
