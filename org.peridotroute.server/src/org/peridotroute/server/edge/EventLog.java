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
 * Writes events as JSON lines on a thread of its own. Never blocks its callers: what does not fit
 * into the ring is dropped and counted, and so is what exceeds a kind's share of a second. Safe for
 * use by several threads.
 */
public final class EventLog implements Events, RingConsumer<EventLog.Line> {
  /** Lines that may wait; a burst of a second at the busiest. */
  private static final int RING_SLOTS = 2_048;

  /** Time between looks for lines while there are none. */
  private static final long TICK_MILLIS = 1_000;

  /** Most lines of one kind in a second; keeps the volume bounded under load. */
  private static final int MAX_PER_KIND = 100;

  private static final long SECOND_MILLIS = 1_000;
  private static final int LINE_CHARS = 256;

  private final String vm;
  private final PrintStream out;
  private final EventRing<Line> ring;
  private final EventMetrics metrics = new EventMetrics();
  private final LongAdder dropped = new LongAdder();
  private final Map<String, Integer> counts = new HashMap<>();
  private final StringBuilder text = new StringBuilder();
  private long second;
  private long droppedTold;

  /**
   * An event on its way to the output.
   *
   * @param timeMillis wall clock
   * @param level how grave it is
   * @param name its name
   * @param fields names and values in turn
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Line(long timeMillis, System.Logger.Level level, String name, Object[] fields) {}

  /**
   * Creates the log.
   *
   * @param vm name of this VM, part of each line
   * @param out where lines go
   */
  public EventLog(String vm, PrintStream out) {
    this.vm = vm;
    this.out = out;
    ring =
        new EventRing<>(
            "events", RING_SLOTS, TICK_MILLIS, this, fault -> fault.printStackTrace(System.err));
  }

  /** Starts writing. */
  public void start() {
    ring.start();
  }

  /** Writes what waits and stops. */
  public void stop() {
    ring.stop();
  }

  /** Returns the counts and distributions of all events. */
  public EventMetrics metrics() {
    return metrics;
  }

  /** Returns the number of lines that were dropped. */
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
    metrics.count(line);
    long now = line.timeMillis() / SECOND_MILLIS;
    if (now != second) {
      tellLeftOut(line.timeMillis());
      second = now;
      counts.clear();
    }
    if (counts.merge(line.name(), 1, Integer::sum) <= MAX_PER_KIND) {
      append(line);
    }
  }

  private void tellLeftOut(long timeMillis) {
    counts.forEach(
        (name, count) -> {
          if (count > MAX_PER_KIND) {
            append(leftOut(timeMillis, name, count - MAX_PER_KIND));
          }
        });
    long lost = dropped.sum() - droppedTold;
    if (lost > 0) {
      droppedTold += lost;
      append(leftOut(timeMillis, "all", lost));
    }
  }

  private static Line leftOut(long timeMillis, String kind, long count) {
    return new Line(
        timeMillis,
        System.Logger.Level.WARNING,
        "events-left-out",
        new Object[] {"kind", kind, "count", count});
  }

  private void append(Line line) {
    text.append("{\"time\":\"").append(Instant.ofEpochMilli(line.timeMillis()));
    text.append("\",\"level\":\"").append(line.level()).append("\",\"vm\":\"").append(vm);
    text.append("\",\"event\":\"").append(line.name()).append('"');
    Object[] fields = line.fields();
    for (int i = 0; i + 1 < fields.length; i += 2) {
      text.append(",\"").append(fields[i]).append("\":");
      value(fields[i + 1]);
    }
    text.append("}\n");
  }

  private void value(Object value) {
    if (value instanceof Number || value instanceof Boolean || value == null) {
      text.append(value);
      return;
    }
    text.append('"');
    JsonStringEncoder.getInstance().quoteAsString(value.toString(), text);
    text.append('"');
  }

  @Override
  public void onBatchEnd() {
    if (text.length() == 0) {
      return;
    }
    out.writeBytes(text.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
    text.setLength(0);
    if (text.capacity() > LINE_CHARS * RING_SLOTS) {
      text.trimToSize();
    }
  }
}
