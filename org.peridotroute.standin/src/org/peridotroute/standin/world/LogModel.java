package org.peridotroute.standin.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.scheduler.port.KeyedLog.AppendOutcome;
import org.peridotroute.scheduler.port.KeyedLog.AppendReply;
import org.peridotroute.scheduler.port.KeyedLog.Fence;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Topic;

/**
 * Server-side state of the keyed log: the records, the newest record of each key, and the epoch and
 * sequence number of the last fenced append to each topic. Used by one thread.
 */
public final class LogModel {
  /** Number of fenced appends per topic whose answers are kept to answer repeats. */
  private static final int MAX_KEPT_REPLIES = 5;

  /** Largest record, in bytes. */
  private static final int MAX_RECORD_BYTES = 262_144;

  /** Largest append, in bytes. */
  private static final int MAX_APPEND_BYTES = 2_097_152;

  /** Records of one topic and the state of its fenced writer. */
  private static final class TopicState {
    private final List<KeyedRecord> records = new ArrayList<>();
    private final Map<String, KeyedRecord> newest = new LinkedHashMap<>();
    private final Map<Long, AppendReply> repliesBySequence = new LinkedHashMap<>();
    private long firstOffset;
    private long epoch = -1;
    private long sequence = -1;
  }

  private final Map<Topic, TopicState> topics = new HashMap<>();

  private TopicState topic(Topic topic) {
    return topics.computeIfAbsent(topic, key -> new TopicState());
  }

  /**
   * Appends records to a topic unless its end or the fence rejects them. A repeat of a recent
   * fenced append gets the answer of the original.
   *
   * @param to the topic
   * @param records the records, whose offsets are ignored; a null value deletes the key
   * @param expectedEnd end offset that the topic must have, -1 for any
   * @param fence epoch and sequence number of the writer, null for an unfenced append
   * @return the outcome and offsets
   */
  public AppendReply append(Topic to, List<KeyedRecord> records, long expectedEnd, Fence fence) {
    if (isTooLarge(records)) {
      // The platform states no status for this case, so that callers learn nothing from the reply.
      return new AppendReply(AppendOutcome.UNKNOWN, -1, -1);
    }
    TopicState topic = topic(to);
    long endOffset = topic.records.size();
    if (fence != null) {
      if (fence.epoch() < topic.epoch) {
        return new AppendReply(AppendOutcome.FENCED, -1, -1);
      }
      if (fence.epoch() == topic.epoch) {
        AppendReply earlier = topic.repliesBySequence.get(fence.sequence());
        if (earlier != null) {
          return earlier;
        }
        if (fence.sequence() != topic.sequence + 1) {
          return new AppendReply(AppendOutcome.OUT_OF_SEQUENCE, -1, -1);
        }
      }
    }
    if (expectedEnd >= 0 && expectedEnd != endOffset) {
      return new AppendReply(AppendOutcome.CONFLICT, -1, endOffset);
    }
    for (KeyedRecord record : records) {
      KeyedRecord stored = new KeyedRecord(topic.records.size(), record.key(), record.value());
      topic.records.add(stored);
      topic.newest.remove(record.key());
      if (record.value() != null) {
        topic.newest.put(record.key(), stored);
      }
    }
    AppendReply reply = new AppendReply(AppendOutcome.APPENDED, endOffset, topic.records.size());
    if (fence != null) {
      recordFenced(topic, fence, reply);
    }
    return reply;
  }

  private static boolean isTooLarge(List<KeyedRecord> records) {
    long totalBytes = 0;
    for (KeyedRecord record : records) {
      int bytes = record.value() == null ? 0 : record.value().length;
      if (bytes > MAX_RECORD_BYTES) {
        return true;
      }
      totalBytes += bytes;
    }
    return totalBytes > MAX_APPEND_BYTES;
  }

  private static void recordFenced(TopicState topic, Fence fence, AppendReply reply) {
    if (fence.epoch() > topic.epoch) {
      topic.repliesBySequence.clear();
    }
    topic.epoch = fence.epoch();
    topic.sequence = fence.sequence();
    topic.repliesBySequence.put(fence.sequence(), reply);
    if (topic.repliesBySequence.size() > MAX_KEPT_REPLIES) {
      topic.repliesBySequence.remove(topic.repliesBySequence.keySet().iterator().next());
    }
  }

  /** Returns the offset that the next record of a topic gets. */
  public long endOffset(Topic topic) {
    return topic(topic).records.size();
  }

  /** Returns the first offset of a topic that is retained. */
  public long firstOffset(Topic topic) {
    return topic(topic).firstOffset;
  }

  /** Returns the records of a topic from an offset on. */
  public List<KeyedRecord> readFrom(Topic topic, long offset) {
    List<KeyedRecord> records = topic(topic).records;
    return List.copyOf(records.subList((int) Math.min(offset, records.size()), records.size()));
  }

  /** Returns the newest record of each key of a topic. */
  public List<KeyedRecord> newest(Topic topic) {
    return List.copyOf(topic(topic).newest.values());
  }

  /**
   * Expires all records so far, as retention does; the newest record of each key stays readable.
   */
  public void expireHistory() {
    topics.values().forEach(topic -> topic.firstOffset = topic.records.size());
  }
}
