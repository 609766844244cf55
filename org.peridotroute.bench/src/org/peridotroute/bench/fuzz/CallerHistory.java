package org.peridotroute.bench.fuzz;

import java.util.Map;
import java.util.TreeMap;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;

/** What callers have been told. Used by one thread. */
final class CallerHistory {
  private final Map<JobKey, JobSpec> accepted = new TreeMap<>();
  private final Map<JobKey, JobSpec> asked = new TreeMap<>();

  void ask(JobKey key, JobSpec spec) {
    asked.putIfAbsent(key, spec);
  }

  void toldAccepted(JobKey key, JobSpec spec) {
    accepted.put(key, spec);
  }

  Map<JobKey, JobSpec> accepted() {
    return accepted;
  }

  JobSpec spec(JobKey key) {
    return asked.get(key);
  }
}
