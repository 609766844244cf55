package org.peridotroute.scheduler.table;

import org.peridotroute.scheduler.model.Submission;

/**
 * A submission as its record contains it. An append without a reply may be done at any later time,
 * so the record also contains how much of the topic its VM had read. A record that is stored too
 * far behind that offset is invalid, because a cancellation of the job may have been removed in the
 * meantime.
 *
 * @param submission the submission
 * @param preparedAtOffset offset up to which the VM had read the topic when it prepared the record;
 *     -1 in records of earlier versions
 */
public record PreparedSubmission(Submission submission, long preparedAtOffset) {
  /** Number of records that may be stored between the preparation of a record and the record. */
  public static final long MAX_LATENESS_RECORDS = 10_000;

  /**
   * Returns whether the record is invalid at an offset.
   *
   * @param offset offset at which the record is stored
   */
  public boolean isTooLate(long offset) {
    return preparedAtOffset >= 0 && offset - preparedAtOffset > MAX_LATENESS_RECORDS;
  }
}
