package org.peridotroute.server.edge;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;
import java.util.Map;

/**
 * Counts events by name and outcome, including those that the event log omits because of its rate
 * limit, and keeps a histogram of each field whose name ends in "Millis". Thread-safe.
 */
public final class EventMetrics {
  private static final String MILLIS = "Millis";
  private static final String OUTCOME = "outcome";
  private static final double MEDIAN = 0.5;
  private static final double P99 = 0.99;

  private final MetricRegistry registry = new MetricRegistry();

  /** Updates the counter and the histograms of an event. */
  void record(EventLog.Line line) {
    Object[] fields = line.fields();
    String outcome = "";
    for (int i = 0; i + 1 < fields.length; i += 2) {
      String field = fields[i].toString();
      if (field.equals(OUTCOME)) {
        outcome = String.valueOf(fields[i + 1]);
      } else if (field.endsWith(MILLIS) && fields[i + 1] instanceof Number number) {
        registry.histogram(line.name() + "." + field).update(number.longValue());
      }
    }
    registry.counter(line.name() + "." + outcome).inc();
  }

  /** Returns all metrics in the Prometheus text format; times are in milliseconds. */
  public String toPrometheusText() {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
      int dot = entry.getKey().indexOf('.');
      text.append("peridotroute_events_total{event=\"").append(entry.getKey(), 0, dot);
      text.append("\",outcome=\"").append(entry.getKey().substring(dot + 1)).append("\"} ");
      text.append(entry.getValue().getCount()).append('\n');
    }
    for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
      String name =
          "peridotroute_"
              + entry.getKey().replace('-', '_').replace('.', '_').toLowerCase(Locale.ROOT);
      Snapshot snapshot = entry.getValue().getSnapshot();
      append(text, name, MEDIAN, snapshot.getValue(MEDIAN));
      append(text, name, P99, snapshot.getValue(P99));
      text.append(name).append("_count ").append(entry.getValue().getCount()).append('\n');
    }
    return text.toString();
  }

  private static void append(StringBuilder text, String name, double quantile, double value) {
    text.append(name).append("{quantile=\"").append(quantile).append("\"} ").append(value);
    text.append('\n');
  }
}
