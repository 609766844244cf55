package org.peridotroute.server.edge;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Tests that the event log is bounded and never blocks its callers. */
final class EventLogTest {
  @Test
  void writesFieldsAsJson() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    EventLog log = new EventLog("vm-1", new PrintStream(out, true, StandardCharsets.UTF_8));
    log.start();
    log.info("job-submitted", "job", "a\"b", "priority", 2, "outcome", "DONE", "tookMillis", 7L);
    log.stop();
    String line = out.toString(StandardCharsets.UTF_8);
    assertThat(line).contains("\"event\":\"job-submitted\",\"job\":\"a\\\"b\",\"priority\":2");
    assertThat(log.metrics().toPrometheusText())
        .contains("peridotroute_events_total{event=\"job-submitted\",outcome=\"DONE\"} 1");
    assertThat(log.metrics().toPrometheusText())
        .contains("peridotroute_job_submitted_tookmillis_count 1");
  }

  @Test
  void limitsLinesPerKindAndSecondAndReportsOmittedLines() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    EventLog log = new EventLog("vm-1", new PrintStream(out, true, StandardCharsets.UTF_8));
    for (int i = 0; i < 150; i++) {
      log.onEvent(new EventLog.Line(5_000, System.Logger.Level.INFO, "burst", new Object[0]));
    }
    log.onEvent(new EventLog.Line(6_000, System.Logger.Level.INFO, "later", new Object[0]));
    log.onBatchEnd();
    String lines = out.toString(StandardCharsets.UTF_8);
    assertThat(lines.lines().filter(line -> line.contains("\"burst\"}")).count()).isEqualTo(100);
    assertThat(lines).contains("\"event\":\"events-left-out\",\"kind\":\"burst\",\"count\":50");
  }

  @Test
  void dropsAndCountsEventsWhileOutputIsBlocked() throws InterruptedException {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    OutputStream blockingStream =
        new OutputStream() {
          @Override
          public void write(int b) {
            blocked.countDown();
            try {
              release.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    EventLog log =
        new EventLog("vm-1", new PrintStream(blockingStream, false, StandardCharsets.UTF_8));
    log.start();
    log.info("first");
    blocked.await();
    for (int i = 0; i < 5_000; i++) {
      log.info("more", "number", i);
    }
    assertThat(log.dropped()).isGreaterThan(0L);
    release.countDown();
    log.stop();
  }
}
