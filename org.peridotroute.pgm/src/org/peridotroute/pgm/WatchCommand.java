package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/** Prints changes of jobs as they occur. */
@Command(name = "watch", description = "print changes of jobs as they occur")
public final class WatchCommand extends ApiCommand {
  @Option(name = "--from", description = "revision to start after; default: the current revision")
  private long from = -1;

  @Option(name = "--job", description = "only this job, as ORGANISATION/JOB; ends when it ends")
  private String job;

  @Override
  int call(Console console, ApiClient client) throws Exception {
    JobWatch watch = new JobWatch(client).setFromRevision(from);
    if (job != null) {
      watch.setJob(JobArgument.parse(job));
    }
    var unused = watch.run(console);
    return ExitCode.OK;
  }
}
