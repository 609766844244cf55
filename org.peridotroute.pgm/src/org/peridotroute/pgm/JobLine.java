package org.peridotroute.pgm;

import java.util.List;
import java.util.Locale;
import org.peridotroute.lib.Member;
import org.peridotroute.server.view.JobView;

/** Formats a job as one human-readable line. */
final class JobLine {
  private JobLine() {}

  static String format(JobView job) {
    StringBuilder line = new StringBuilder();
    line.append(job.organisation()).append('/').append(job.name());
    line.append(' ').append(lower(job.phase()));
    if (job.outcome() != null) {
      line.append(' ').append(lower(job.outcome()));
    }
    if (job.cancelRequested() && job.outcome() == null) {
      line.append(" cancelling");
    }
    line.append(" shape=").append(job.spec().shape());
    line.append(" attempts=").append(job.attempts());
    if (job.members() != null) {
      line.append(" on=").append(workers(job.members()));
    }
    if (job.reason() != null) {
      line.append(" reason=\"").append(job.reason()).append('"');
    }
    return line.toString();
  }

  private static String workers(List<Member> members) {
    return String.join(
        ",", members.stream().map(member -> member.worker().value()).distinct().toList());
  }

  private static String lower(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
