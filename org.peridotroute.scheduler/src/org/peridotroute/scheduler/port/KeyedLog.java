package org.peridotroute.scheduler.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * An ordered log of keyed records. It keeps the newest record of each key indefinitely and older
 * records for a short time. Thread-safe.
 */
public interface KeyedLog {
  /** How an append ended. */
  enum AppendOutcome {
    /** The records are stored. */
    APPENDED,
    /** The topic did not end at the expected offset; nothing was stored. */
    CONFLICT,
    /** A writer with a greater epoch has taken over; nothing was stored. */
    FENCED,
    /** The sequence number does not follow the previous one; nothing was stored. */
    OUT_OF_SEQUENCE,
    /** The log refuses appends at the moment; nothing was stored. */
    REFUSED,
    /** No reply: the records may be stored now, later or never. */
    UNKNOWN
  }

  /**
   * Reply to an append.
   *
   * @param outcome how the append ended
   * @param firstOffset offset of the first record; -1 unless appended
   * @param endOffset end offset of the topic if the reply contains it, else -1
   */
  record AppendReply(AppendOutcome outcome, long firstOffset, long endOffset) {}

  /**
   * Identity of an append, by which the log detects retries and superseded writers.
   *
   * @param writer name of the role that writes
   * @param epoch epoch of the role; the log refuses an epoch below the greatest one it has seen
   * @param sequence sequence number of the append within the epoch, from 0
   */
  record Fence(String writer, long epoch, long sequence) {}

  /** How a read ended. */
  enum ReadOutcome {
    /** The reply contains the records, none if there are none yet. */
    READ,
    /** The records at the offset have been removed. */
    EXPIRED,
    /** No reply, or the log refused the read. */
    UNAVAILABLE
  }

  /**
   * Reply to a read.
   *
   * @param outcome how the read ended
   * @param endOffset offset that the next appended record will get, -1 if unavailable
   * @param records the records in log order
   */
  record ReadReply(ReadOutcome outcome, long endOffset, List<KeyedRecord> records) {
    /** Copies the records. */
    public ReadReply {
      records = List.copyOf(records);
    }
  }

  /**
   * A page of the newest records by key.
   *
   * @param available whether the log replied
   * @param endOffset end offset of the topic when the page was read
   * @param records the newest record of each key in the page
   * @param hasMore whether further pages follow
   */
  record NewestPage(boolean available, long endOffset, List<KeyedRecord> records, boolean hasMore) {
    /** Copies the records. */
    public NewestPage {
      records = List.copyOf(records);
    }
  }

  /**
   * Appends records atomically and in order.
   *
   * @param topic the topic
   * @param records the records; may be empty with a fence, which then only raises the epoch
   * @param expectedEndOffset offset at which the topic must end, -1 for any
   * @param fence identity of the append, null for an unfenced append
   * @return completes with the reply
   */
  CompletableFuture<AppendReply> append(
      Topic topic, List<KeyedRecord> records, long expectedEndOffset, Fence fence);

  /**
   * Reads records from an offset on.
   *
   * @param topic the topic
   * @param fromOffset offset of the first record to read
   * @param waitMillis how long to wait for a record if there is none yet
   * @return completes with the reply
   */
  CompletableFuture<ReadReply> read(Topic topic, long fromOffset, long waitMillis);

  /**
   * Reads a page of the newest records by key.
   *
   * @param topic the topic
   * @param afterKey last key of the previous page, null for the first page
   * @return completes with the page
   */
  CompletableFuture<NewestPage> newest(Topic topic, String afterKey);
}
