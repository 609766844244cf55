package org.peridotroute.scheduler.table;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.peridotroute.errors.RecordFormatException;
import org.peridotroute.json.JsonText;
import org.peridotroute.json.JsonValue;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.ProposedJob;
import org.peridotroute.scheduler.port.KeyedRecord;

/**
 * Encoding of submissions and cancellations on the log: JSON values, with separate key prefixes.
 * Stateless.
 */
public final class RequestCodec {
  private static final String SUBMISSION_PREFIX = "job/";
  private static final String CANCEL_PREFIX = "cancel/";
  private static final String PREPARED_AT_FIELD = "preparedAtOffset";
  private static final byte[] CANCEL_VALUE = "{}".getBytes(StandardCharsets.UTF_8);

  private RequestCodec() {}

  /** Returns the key of the record that submits a job. */
  public static String submissionKey(JobId job) {
    return SUBMISSION_PREFIX + job;
  }

  /**
   * Encodes a submission.
   *
   * @param prepared the submission
   * @return its record
   */
  public static KeyedRecord writeSubmission(PreparedSubmission prepared) {
    return KeyedRecord.of(
        submissionKey(prepared.submission().id()),
        JsonText.object(
            text -> {
              SubmissionJson.write(text, prepared.submission());
              if (prepared.preparedAtOffset() >= 0) {
                text.number(PREPARED_AT_FIELD, prepared.preparedAtOffset());
              }
            }));
  }

  /**
   * Encodes a cancellation.
   *
   * @param job the job to cancel
   * @return its record
   */
  public static KeyedRecord writeCancellation(JobId job) {
    return KeyedRecord.of(CANCEL_PREFIX + job, CANCEL_VALUE);
  }

  /**
   * Encodes the removal of a cancellation.
   *
   * @param job the job that was cancelled
   * @return a record without a value
   */
  public static KeyedRecord removeCancellation(JobId job) {
    return KeyedRecord.of(CANCEL_PREFIX + job, null);
  }

  /**
   * Returns the job that a record cancels. A record without a value removes the cancellation.
   *
   * @param record a record
   * @return the job, or empty if the record is not a cancellation
   */
  public static Optional<JobId> cancelledJob(KeyedRecord record) {
    return idAfterPrefix(record, CANCEL_PREFIX);
  }

  /**
   * Returns the job that a record submits.
   *
   * @param record a record
   * @return the job, or empty if the record is not a submission
   */
  public static Optional<JobId> submittedJob(KeyedRecord record) {
    return idAfterPrefix(record, SUBMISSION_PREFIX);
  }

  private static Optional<JobId> idAfterPrefix(KeyedRecord record, String prefix) {
    if (!record.key().startsWith(prefix)) {
      return Optional.empty();
    }
    String text = record.key().substring(prefix.length());
    return JobId.isValid(text) ? Optional.of(new JobId(text)) : Optional.empty();
  }

  /**
   * Decodes a job file: the organisation and the queue by name, and the request as submissions
   * contain it.
   *
   * @param json the file
   * @return the job
   * @throws IOException if the file cannot be decoded
   * @throws org.peridotroute.errors.InvalidValueException if the file contains no job
   */
  public static ProposedJob readProposedJob(byte[] json) throws IOException {
    return JobFile.read(json);
  }

  /**
   * Decodes a submission.
   *
   * @param record its record
   * @return the submission
   * @throws RecordFormatException if the record cannot be decoded
   */
  public static PreparedSubmission readSubmission(KeyedRecord record) throws RecordFormatException {
    try {
      JsonValue value = JsonValue.parse(record.value());
      return new PreparedSubmission(
          SubmissionJson.read(value), value.get(PREPARED_AT_FIELD).number(-1));
    } catch (IOException | IllegalArgumentException e) {
      throw RecordFormatException.unreadable("requests", record.offset(), e.getMessage());
    }
  }
}
