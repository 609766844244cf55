package org.peridotroute.scheduler.node;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedLog;
import org.peridotroute.scheduler.port.KeyedLog.NewestPage;
import org.peridotroute.scheduler.port.KeyedLog.ReadReply;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Replies;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.Topic;

/**
 * Follows a topic: loads the newest record of each key, then reads the records that follow. Loads
 * the topic again when the log has removed the records to be read next. Belongs to the control
 * thread.
 */
final class TopicFollower {
  /** Delay before a failed read is retried. */
  private static final long RETRY_DELAY_MILLIS = 250;

  /** Receives the records of the topic. */
  interface Listener {
    /** Called for each record. The same record may be delivered more than once. */
    void onRecord(KeyedRecord record);

    /**
     * Called after each complete load of the topic.
     *
     * @param keys all keys that are left in the topic
     */
    default void onLoaded(Set<String> keys) {}

    /**
     * Called after each reply of the log whose records have been delivered.
     *
     * @param empty whether the reply had no new records
     * @param sentMillis steady time at which the read was sent
     * @param endOffset end of the topic
     */
    default void onRead(boolean empty, long sentMillis, long endOffset) {}
  }

  private final Topic topic;
  private final KeyedLog log;
  private final Executor control;
  private final Time time;
  private final Events events;
  private final Listener listener;
  private final long waitMillis;
  private long readIntervalMillis;
  private long nextOffset = -1;
  private long deliveredOffset;
  private boolean inFlight;
  private boolean available = true;
  private long lastReplyMillis = Long.MIN_VALUE;
  private boolean running;
  private long nextReadMillis;
  private long currentAsOfMillis = Long.MIN_VALUE;
  private Set<String> loadedKeys = new HashSet<>();
  private long loadEndOffset = -1;
  private String lastLoadedKey;
  private long loadSentMillis;
  private int generation;

  TopicFollower(
      Topic topic,
      KeyedLog log,
      Executor control,
      Time time,
      Events events,
      Listener listener,
      long waitMillis,
      long readIntervalMillis) {
    this.topic = topic;
    this.log = log;
    this.control = control;
    this.time = time;
    this.events = events;
    this.listener = listener;
    this.waitMillis = waitMillis;
    this.readIntervalMillis = readIntervalMillis;
  }

  /** Starts following with a load of the newest record of each key. */
  void start() {
    running = true;
    restart();
  }

  /** Stops following. Replies to calls in flight are ignored. */
  void stop() {
    running = false;
    generation++;
    inFlight = false;
  }

  private void restart() {
    generation++;
    inFlight = false;
    nextOffset = -1;
    loadEndOffset = -1;
    lastLoadedKey = null;
    loadedKeys = new HashSet<>();
    nextReadMillis = 0;
  }

  /** Sets the shortest time between two reads, in force from the next read on. */
  void setReadIntervalMillis(long value) {
    readIntervalMillis = value;
  }

  /** Returns whether the newest records have been loaded. */
  boolean isLoaded() {
    return nextOffset >= 0;
  }

  /** Returns the steady time of the log's last reply, {@code Long.MIN_VALUE} before the first. */
  long lastReplyMillis() {
    return lastReplyMillis;
  }

  /** Returns the offset of the next record to read, -1 before the load. */
  long nextOffset() {
    return nextOffset;
  }

  /**
   * Returns an offset before which every record has been delivered or replaced by a delivered one.
   * Unlike {@link #nextOffset} it stays known while the topic is loaded again; 0 before the load.
   */
  long deliveredOffset() {
    return deliveredOffset;
  }

  /**
   * Returns the steady time up to which everything stored has been read, {@code Long.MIN_VALUE}
   * before the first load.
   */
  long currentAsOfMillis() {
    return currentAsOfMillis;
  }

  /** Makes the next call if it is due. */
  void step() {
    long now = time.steadyMillis();
    if (!running || inFlight || now < nextReadMillis) {
      return;
    }
    inFlight = true;
    int callGeneration = generation;
    if (nextOffset < 0) {
      if (lastLoadedKey == null) {
        loadSentMillis = now;
      }
      Replies.deliver(
          log.newest(topic, lastLoadedKey),
          control,
          page -> ifCurrent(callGeneration, () -> onNewestPage(page)));
    } else {
      Replies.deliver(
          log.read(topic, nextOffset, waitMillis),
          control,
          reply -> ifCurrent(callGeneration, () -> onReadReply(reply, now)));
    }
  }

  /**
   * Reads up to the end of the topic without waiting for the read in flight, so that everything
   * stored at the time of the call has been delivered.
   *
   * @param onCaughtUp run once all of it has been delivered
   * @param onUnavailable run if a read fails, or if the topic is stopped or loaded again meanwhile
   */
  void catchUp(Runnable onCaughtUp, Runnable onUnavailable) {
    int callGeneration = generation;
    long now = time.steadyMillis();
    Replies.deliver(
        log.read(topic, nextOffset, 0),
        control,
        reply -> {
          if (callGeneration != generation || reply.outcome() != KeyedLog.ReadOutcome.READ) {
            onUnavailable.run();
            return;
          }
          markAvailable();
          deliver(reply, now);
          if (nextOffset >= reply.endOffset()) {
            onCaughtUp.run();
          } else {
            catchUp(onCaughtUp, onUnavailable);
          }
        });
  }

  private void ifCurrent(int callGeneration, Runnable action) {
    if (callGeneration == generation) {
      action.run();
    }
  }

  private void onNewestPage(NewestPage page) {
    inFlight = false;
    if (!page.available()) {
      markUnavailable();
      return;
    }
    markAvailable();
    if (loadEndOffset < 0) {
      loadEndOffset = page.endOffset();
    }
    for (KeyedRecord record : page.records()) {
      loadedKeys.add(record.key());
      lastLoadedKey = record.key();
      handle(record);
    }
    if (!page.hasMore()) {
      nextOffset = loadEndOffset;
      deliveredOffset = Math.max(deliveredOffset, nextOffset);
      currentAsOfMillis = loadSentMillis;
      events.info("topic-loaded", "topic", topic, "keys", loadedKeys.size(), "end", loadEndOffset);
      listener.onLoaded(loadedKeys);
      listener.onRead(false, loadSentMillis, nextOffset);
    }
    step();
  }

  private void onReadReply(ReadReply reply, long sentMillis) {
    inFlight = false;
    switch (reply.outcome()) {
      case READ -> {
        markAvailable();
        nextReadMillis = sentMillis + readIntervalMillis;
        deliver(reply, sentMillis);
      }
      case EXPIRED -> {
        events.warn("topic-expired", "topic", topic, "offset", nextOffset);
        restart();
      }
      default -> markUnavailable();
    }
    step();
  }

  private void deliver(ReadReply reply, long sentMillis) {
    List<KeyedRecord> newRecords = new ArrayList<>();
    for (KeyedRecord record : reply.records()) {
      if (record.offset() >= nextOffset) {
        newRecords.add(record);
      }
    }
    for (KeyedRecord record : newRecords) {
      nextOffset = record.offset() + 1;
      handle(record);
    }
    deliveredOffset = Math.max(deliveredOffset, nextOffset);
    if (nextOffset >= reply.endOffset()) {
      currentAsOfMillis = Math.max(currentAsOfMillis, sentMillis);
    }
    listener.onRead(newRecords.isEmpty(), sentMillis, reply.endOffset());
  }

  /**
   * Passes a record to the listener. What other programs write must not end the process, or each
   * next one would be ended by the same record. A failure in this project's own records shows a
   * broken invariant and is thrown.
   */
  private void handle(KeyedRecord record) {
    try {
      listener.onRecord(record);
    } catch (RuntimeException | StackOverflowError e) {
      if (topic == Topic.PROGRESS) {
        throw e;
      }
      events.warn(
          "record-skipped",
          "topic",
          topic,
          "key",
          record.key(),
          "offset",
          record.offset(),
          "cause",
          e.toString());
    }
  }

  private void markUnavailable() {
    nextReadMillis = time.steadyMillis() + RETRY_DELAY_MILLIS;
    if (available) {
      available = false;
      events.warn("topic-lost", "topic", topic, "offset", nextOffset);
    }
  }

  private void markAvailable() {
    lastReplyMillis = time.steadyMillis();
    if (!available) {
      available = true;
      events.info("topic-regained", "topic", topic, "offset", nextOffset);
    }
  }
}
