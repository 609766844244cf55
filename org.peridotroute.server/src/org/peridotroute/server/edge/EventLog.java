package org.peridotroute.server.edge;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.server.ring.EventRing;
import org.peridotroute.server.ring.RingConsumer;

/**
 * Writes events as JSON lines on its own thread. Never blocks its callers: events that do not fit
 * into the ring are dropped and counted, and so are events above the limit per name and second. Any
 * thread may write events.
 */
public final class EventLog implements Events, RingConsumer<EventLog.Line> {
  /** Capacity of the ring in lines: a one-second burst at peak load. */
  private static final int RING_SLOTS = 2_048;

  /** Wake-up interval of the idle thread. */
  private static final long TICK_MILLIS = 1_000;

  /** Most lines of one event name per second; bounds the volume under load. */
  private static final int MAX_LINES_PER_NAME = 100;

  private static final long SECOND_MILLIS = 1_000;

  /** Expected length of a line. A buffer larger than a full ring of such lines is trimmed. */
  private static final int LINE_CHARS = 256;

  private final String vm;
  private final PrintStream out;
  private final EventRing<Line> ring;
  private final EventMetrics metrics = new EventMetrics();
  private final LongAdder dropped = new LongAdder();
  private final Map<String, Integer> countsInSecond = new HashMap<>();
  private final StringBuilder buffer = new StringBuilder();
  private long currentSecond;
  private long reportedDropped;

  /**
   * An event waiting to be written.
   *
   * @param timeMillis wall clock time of the event
   * @param level severity
   * @param name name of the event
   * @param fields field names and values, alternating
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Line(long timeMillis, System.Logger.Level level, String name, Object[] fields) {}

  /**
   * Creates the log.
   *
   * @param vm name of this VM, written to each line
   * @param out output of the lines
   */
  public EventLog(String vm, PrintStream out) {
    this.vm = vm;
    this.out = out;
    ring =
        new EventRing<>(
            "events",
            RING_SLOTS,
            TICK_MILLIS,
            this,
            failure -> failure.printStackTrace(System.err));
  }

  /** Starts the writing thread. */
  public void start() {
    ring.start();
  }

  /** Writes the lines in the ring and stops the thread. */
  public void stop() {
    ring.stop();
  }

  /** Returns the counts and distributions of all events. */
  public EventMetrics metrics() {
    return metrics;
  }

  /** Returns the number of events dropped because the ring was full. */
  public long dropped() {
    return dropped.sum();
  }

  @Override
  public void write(System.Logger.Level level, String name, Object... fields) {
    if (!ring.offer(new Line(System.currentTimeMillis(), level, name, fields))) {
      dropped.increment();
    }
  }

  @Override
  public void onEvent(Line line) {
    metrics.record(line);
    long eventSecond = line.timeMillis() / SECOND_MILLIS;
    if (eventSecond != currentSecond) {
      reportOmittedLines(line.timeMillis());
      currentSecond = eventSecond;
      countsInSecond.clear();
    }
    if (countsInSecond.merge(line.name(), 1, Integer::sum) <= MAX_LINES_PER_NAME) {
      append(line);
    }
  }

  private void reportOmittedLines(long timeMillis) {
    countsInSecond.forEach(
        (name, count) -> {
          if (count > MAX_LINES_PER_NAME) {
            append(omittedLines(timeMillis, name, count - MAX_LINES_PER_NAME));
          }
        });
    long newlyDropped = dropped.sum() - reportedDropped;
    if (newlyDropped > 0) {
      reportedDropped += newlyDropped;
      append(omittedLines(timeMillis, "all", newlyDropped));
    }
  }

  private static Line omittedLines(long timeMillis, String kind, long count) {
    return new Line(
        timeMillis,
        System.Logger.Level.WARNING,
        "events-left-out",
        new Object[] {"kind", kind, "count", count});
  }

  private void append(Line line) {
    buffer.append("{\"time\":\"").append(Instant.ofEpochMilli(line.timeMillis()));
    buffer.append("\",\"level\":\"").append(line.level()).append("\",\"vm\":\"").append(vm);
    buffer.append("\",\"event\":\"").append(line.name()).append('"');
    Object[] fields = line.fields();
    for (int i = 0; i + 1 < fields.length; i += 2) {
      buffer.append(",\"").append(fields[i]).append("\":");
      appendValue(fields[i + 1]);
    }
    buffer.append("}\n");
  }

  private void appendValue(Object value) {
    if (value instanceof Number || value instanceof Boolean || value == null) {
      buffer.append(value);
      return;
    }
    buffer.append('"');
    JsonStringEncoder.getInstance().quoteAsString(value.toString(), buffer);
    buffer.append('"');
  }

  @Override
  public void onBatchEnd() {
    if (buffer.length() == 0) {
      return;
    }
    out.writeBytes(buffer.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
    buffer.setLength(0);
    if (buffer.capacity() > LINE_CHARS * RING_SLOTS) {
      buffer.trimToSize();
    }
  }
}
