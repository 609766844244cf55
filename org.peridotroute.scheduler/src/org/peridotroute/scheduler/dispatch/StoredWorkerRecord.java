package org.peridotroute.scheduler.dispatch;

/**
 * A worker's record as read from the log.
 *
 * @param record the record
 * @param offset its offset
 * @param readMillis steady time at which this VM first read it
 */
public record StoredWorkerRecord(WorkerRecord record, long offset, long readMillis) {}
