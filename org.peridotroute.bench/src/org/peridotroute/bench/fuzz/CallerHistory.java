package org.peridotroute.bench.fuzz;

import java.util.Map;
import java.util.TreeMap;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;

/** Jobs that callers have submitted and that were acknowledged as accepted. Used by one thread. */
final class CallerHistory {
  private final Map<JobKey, JobSpec> accepted = new TreeMap<>();
  private final Map<JobKey, JobSpec> submitted = new TreeMap<>();

  void recordSubmitted(JobKey key, JobSpec spec) {
    submitted.putIfAbsent(key, spec);
  }

  void recordAccepted(JobKey key, JobSpec spec) {
    accepted.put(key, spec);
  }

  Map<JobKey, JobSpec> accepted() {
    return accepted;
  }

  JobSpec spec(JobKey key) {
    return submitted.get(key);
  }
}
