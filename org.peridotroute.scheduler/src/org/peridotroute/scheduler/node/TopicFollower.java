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
 * Follows a topic: loads the newest record of each key, then reads on. Loads anew when the records
 * that it wants have been removed. Belongs to the control thread.
 */
final class TopicFollower {
  /** Pause before a read that failed is tried again. */
  private static final long RETRY_MILLIS = 250;

  /** Takes what is read. */
  interface Reader {
    /** Takes a record. A record may come again. */
    void onRecord(KeyedRecord record);

    /** Takes in which keys are left after a whole load. */
    default void onLoaded(Set<String> keys) {}

    /** Called after each answer that was taken in. */
    default void onRead(boolean empty, long sentMillis, long endOffset) {}
  }

  private final Topic topic;
  private final KeyedLog log;
  private final Executor control;
  private final Time time;
  private final Events events;
  private final Reader reader;
  private final long waitMillis;
  private long gapMillis;
  private long nextOffset = -1;
  private boolean inFlight;
  private boolean available = true;
  private long answeredMillis = Long.MIN_VALUE;
  private boolean running;
  private long nextReadMillis;
  private long currentAsOfMillis = Long.MIN_VALUE;
  private Set<String> loadingKeys = new HashSet<>();
  private long loadingEnd = -1;
  private String loadingAfter;
  private long loadingSentMillis;
  private int generation;

  TopicFollower(
      Topic topic,
      KeyedLog log,
      Executor control,
      Time time,
      Events events,
      Reader reader,
      long waitMillis,
      long gapMillis) {
    this.topic = topic;
    this.log = log;
    this.control = control;
    this.time = time;
    this.events = events;
    this.reader = reader;
    this.waitMillis = waitMillis;
    this.gapMillis = gapMillis;
  }

  /** Begins to follow, from the newest records on. */
  void start() {
    running = true;
    restart();
  }

  /** Stops following. Answers under way are ignored. */
  void stop() {
    running = false;
    generation++;
    inFlight = false;
  }

  private void restart() {
    generation++;
    inFlight = false;
    nextOffset = -1;
    loadingEnd = -1;
    loadingAfter = null;
    loadingKeys = new HashSet<>();
    nextReadMillis = 0;
  }

  /** Sets the shortest time between two reads; in force from the next read on. */
  void setGapMillis(long value) {
    gapMillis = value;
  }

  /** Returns whether the newest records have been loaded. */
  boolean isLoaded() {
    return nextOffset >= 0;
  }

  /** Returns the steady time of the log's last answer, {@code Long.MIN_VALUE} before the first. */
  long answeredMillis() {
    return answeredMillis;
  }

  /** Returns the offset that will be read next, -1 before the load. */
  long nextOffset() {
    return nextOffset;
  }

  /** Returns the steady time up to which everything stored has been read. */
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
    int asked = generation;
    if (nextOffset < 0) {
      if (loadingAfter == null) {
        loadingSentMillis = now;
      }
      Replies.deliver(
          log.newest(topic, loadingAfter), control, page -> ifCurrent(asked, () -> loaded(page)));
    } else {
      Replies.deliver(
          log.read(topic, nextOffset, waitMillis),
          control,
          slice -> ifCurrent(asked, () -> read(slice, now)));
    }
  }

  /**
   * Reads once beside the read that waits, so that everything stored by now is known.
   *
   * @param then run once it is
   * @param otherwise run if the read fails, or the topic has to be loaded anew
   */
  void catchUp(Runnable then, Runnable otherwise) {
    int asked = generation;
    long now = time.steadyMillis();
    Replies.deliver(
        log.read(topic, nextOffset, 0),
        control,
        slice -> {
          if (asked != generation || slice.outcome() != KeyedLog.ReadOutcome.READ) {
            otherwise.run();
            return;
          }
          regained();
          take(slice, now);
          if (nextOffset >= slice.endOffset()) {
            then.run();
          } else {
            catchUp(then, otherwise);
          }
        });
  }

  private void ifCurrent(int asked, Runnable action) {
    if (asked == generation) {
      action.run();
    }
  }

  private void loaded(NewestPage page) {
    inFlight = false;
    if (!page.available()) {
      failed();
      return;
    }
    regained();
    if (loadingEnd < 0) {
      loadingEnd = page.endOffset();
    }
    for (KeyedRecord record : page.records()) {
      loadingKeys.add(record.key());
      loadingAfter = record.key();
      reader.onRecord(record);
    }
    if (!page.hasMore()) {
      nextOffset = loadingEnd;
      currentAsOfMillis = loadingSentMillis;
      events.info("topic-loaded", "topic", topic, "keys", loadingKeys.size(), "end", loadingEnd);
      reader.onLoaded(loadingKeys);
      reader.onRead(false, loadingSentMillis, nextOffset);
    }
    step();
  }

  private void read(ReadReply slice, long sentMillis) {
    inFlight = false;
    switch (slice.outcome()) {
      case READ -> {
        regained();
        nextReadMillis = sentMillis + gapMillis;
        take(slice, sentMillis);
      }
      case EXPIRED -> {
        events.warn("topic-expired", "topic", topic, "offset", nextOffset);
        restart();
      }
      default -> failed();
    }
    step();
  }

  private void take(ReadReply slice, long sentMillis) {
    List<KeyedRecord> fresh = new ArrayList<>();
    for (KeyedRecord record : slice.records()) {
      if (record.offset() >= nextOffset) {
        fresh.add(record);
      }
    }
    for (KeyedRecord record : fresh) {
      nextOffset = record.offset() + 1;
      reader.onRecord(record);
    }
    if (nextOffset >= slice.endOffset()) {
      currentAsOfMillis = Math.max(currentAsOfMillis, sentMillis);
    }
    reader.onRead(fresh.isEmpty(), sentMillis, slice.endOffset());
  }

  private void failed() {
    nextReadMillis = time.steadyMillis() + RETRY_MILLIS;
    if (available) {
      available = false;
      events.warn("topic-lost", "topic", topic, "offset", nextOffset);
    }
  }

  private void regained() {
    answeredMillis = time.steadyMillis();
    if (!available) {
      available = true;
      events.info("topic-regained", "topic", topic, "offset", nextOffset);
    }
  }
}
