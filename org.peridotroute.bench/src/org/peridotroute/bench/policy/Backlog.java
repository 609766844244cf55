package org.peridotroute.bench.policy;

import java.util.List;
import org.peridotroute.fold.ConfigFold;
import org.peridotroute.fold.ConfigState;
import org.peridotroute.fold.JobFold;
import org.peridotroute.fold.JobState;
import org.peridotroute.journal.Envelope;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.Incarnation;
import org.peridotroute.lib.VmId;
import org.peridotroute.policy.ClusterView;
import org.peridotroute.policy.Decision;
import org.peridotroute.policy.GuaranteedBestFit;
import org.peridotroute.policy.PlacementPolicy;

/**
 * A full cluster with a backlog of queued jobs, to measure policy passes on. Used by one thread.
 */
final class Backlog {
  private static final Incarnation WRITER = new Incarnation("backlog");
  private static final long HOLD_RACK_MILLIS = 60_000;

  private final PlacementPolicy policy = new GuaranteedBestFit(HOLD_RACK_MILLIS);
  private final Directory directory;
  private JobState jobs = JobState.EMPTY;
  private ConfigState config = ConfigState.EMPTY;

  /** Submits all jobs of a workload at once and places those that fit. */
  Backlog(Workload workload) {
    directory = new Directory(List.of(), workload.workers());
    workload
        .organisations()
        .forEach(
            (id, organisation) -> {
              LogRecord record = new LogRecord.OrganisationPut(id, organisation, 0);
              config = ConfigFold.fold(config, entry(config.offset(), record)).state();
            });
    fold(new LogRecord.PlannerClaimed(new VmId("backlog"), 0));
    for (TraceJob job : workload.jobs()) {
      fold(new LogRecord.JobSubmitted(job.key(), job.spec(), "backlog"));
    }
    for (Decision decision : policy.decide(view())) {
      if (decision instanceof Decision.Place place) {
        fold(
            new LogRecord.Placed(
                jobs.epoch(), place.job(), place.attempt(), place.borrowed(), place.members()));
      }
    }
  }

  /** Runs passes and returns the duration of each in milliseconds, without the warm-up. */
  double[] measurePasses(int warmUp, int count) {
    for (int i = 0; i < warmUp; i++) {
      runPass();
    }
    double[] millis = new double[count];
    for (int i = 0; i < count; i++) {
      long startNanos = System.nanoTime();
      runPass();
      millis[i] = (System.nanoTime() - startNanos) / 1e6;
    }
    return millis;
  }

  private void runPass() {
    if (policy.decide(view()) == null) {
      throw new IllegalStateException("the policy returned null");
    }
  }

  private ClusterView view() {
    return new ClusterView(jobs, config, directory, 0);
  }

  private void fold(LogRecord record) {
    jobs = JobFold.fold(jobs, entry(jobs.offset(), record)).state();
  }

  private static LogEntry entry(long lastOffset, LogRecord record) {
    long offset = lastOffset + 1;
    return new LogEntry(offset, new Envelope(Envelope.VERSION, WRITER, offset, 0, record));
  }
}
