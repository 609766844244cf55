package org.peridotroute.scheduler.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * An ordered log of records with keys that keeps the newest record of each key for good, and others
 * for a short time. Safe for use by several threads.
 */
public interface KeyedLog {
  /** How an append ended. */
  enum AppendOutcome {
    /** The records are stored. */
    APPENDED,
    /** The topic did not end at the offset asked for; nothing was stored. */
    CONFLICT,
    /** A writer with a greater epoch has taken over; nothing was stored. */
    FENCED,
    /** The number of the append does not follow the last one; nothing was stored. */
    OUT_OF_SEQUENCE,
    /** The log refuses for now; nothing was stored. */
    REFUSED,
    /** No answer: the records may be stored now, later or never. */
    UNKNOWN
  }

  /**
   * Answer to an append.
   *
   * @param outcome how it ended
   * @param firstOffset offset of the first record; -1 unless appended
   * @param endOffset end of the topic as far as told, else -1
   */
  record AppendReply(AppendOutcome outcome, long firstOffset, long endOffset) {}

  /**
   * Numbers by which the log recognises a repeated append and a superseded writer.
   *
   * @param writer name of the role that writes
   * @param epoch term of the role; a lesser one is refused once a greater one was seen
   * @param sequence number of the append within the term, from 0
   */
  record Fence(String writer, long epoch, long sequence) {}

  /** How a read ended. */
  enum ReadOutcome {
    /** The records asked for, none if there are none yet. */
    READ,
    /** The records asked for have been removed. */
    EXPIRED,
    /** No answer, or a refusal. */
    UNAVAILABLE
  }

  /**
   * Answer to a read.
   *
   * @param outcome how it ended
   * @param endOffset offset that the next record will get, -1 if unavailable
   * @param records the records, in order
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
   * @param available whether there was an answer
   * @param endOffset end of the topic when the page was made
   * @param records the newest record of each key
   * @param hasMore whether keys follow after the last one
   */
  record NewestPage(boolean available, long endOffset, List<KeyedRecord> records, boolean hasMore) {
    /** Copies the records. */
    public NewestPage {
      records = List.copyOf(records);
    }
  }

  /**
   * Appends records in one go, in order, all or none.
   *
   * @param topic the topic
   * @param records the records; may be empty with a fence, which then only sets the epoch
   * @param expectedEnd offset at which the topic must end, -1 for anywhere
   * @param fence numbers of the writing role, null for none
   * @return completes with the answer
   */
  CompletableFuture<AppendReply> append(
      Topic topic, List<KeyedRecord> records, long expectedEnd, Fence fence);

  /**
   * Reads records from an offset on.
   *
   * @param topic the topic
   * @param fromOffset the first offset wanted
   * @param waitMillis how long to wait where there is none yet
   * @return completes with the answer
   */
  CompletableFuture<ReadReply> read(Topic topic, long fromOffset, long waitMillis);

  /**
   * Reads a page of the newest records by key.
   *
   * @param topic the topic
   * @param afterKey the last key of the page before, null for the first page
   * @return completes with the page
   */
  CompletableFuture<NewestPage> newest(Topic topic, String afterKey);
}
