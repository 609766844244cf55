package org.peridotroute.scheduler.table;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.peridotroute.errors.RecordFormatException;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.port.KeyedRecord;

/** Form of submissions and cancellations on the log: JSON under keys of their own. Stateless. */
public final class RequestCodec {
  private static final String SUBMISSION_PREFIX = "job/";
  private static final String CANCEL_PREFIX = "cancel/";
  private static final byte[] CANCELLED = "{}".getBytes(StandardCharsets.UTF_8);
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .visibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY)
          .visibility(PropertyAccessor.GETTER, JsonAutoDetect.Visibility.NONE)
          .visibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE)
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(
                  JsonInclude.Include.NON_DEFAULT, JsonInclude.Include.ALWAYS))
          .build();

  private RequestCodec() {}

  /**
   * Writes a submission.
   *
   * @param submission the submission
   * @return its record
   */
  public static KeyedRecord writeSubmission(Submission submission) {
    try {
      return KeyedRecord.of(
          SUBMISSION_PREFIX + submission.id(), MAPPER.writeValueAsBytes(submission));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a submission does not encode", e);
    }
  }

  /**
   * Writes a cancellation.
   *
   * @param job the job
   * @return its record
   */
  public static KeyedRecord writeCancellation(JobId job) {
    return KeyedRecord.of(CANCEL_PREFIX + job, CANCELLED);
  }

  /**
   * Returns the job that a record cancels.
   *
   * @param record a record
   * @return the job, or empty if the record is no cancellation
   */
  public static Optional<JobId> cancelledJob(KeyedRecord record) {
    return id(record, CANCEL_PREFIX);
  }

  /**
   * Returns the job that a record submits.
   *
   * @param record a record
   * @return the job, or empty if the record is no submission
   */
  public static Optional<JobId> submittedJob(KeyedRecord record) {
    return id(record, SUBMISSION_PREFIX);
  }

  private static Optional<JobId> id(KeyedRecord record, String prefix) {
    if (!record.key().startsWith(prefix)) {
      return Optional.empty();
    }
    String text = record.key().substring(prefix.length());
    return JobId.isValid(text) ? Optional.of(new JobId(text)) : Optional.empty();
  }

  /**
   * Reads a submission.
   *
   * @param record its record
   * @return the submission
   * @throws RecordFormatException if it cannot be read
   */
  public static Submission readSubmission(KeyedRecord record) throws RecordFormatException {
    try {
      return MAPPER.readValue(record.value(), Submission.class);
    } catch (IOException | IllegalArgumentException e) {
      throw RecordFormatException.unreadable("requests", record.offset(), e.getMessage());
    }
  }
}
