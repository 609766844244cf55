package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/** Prints changes of jobs as they come. */
@Command(name = "watch", description = "print changes of jobs as they come")
public final class WatchCommand extends ApiCommand {
  @Option(name = "--from", description = "revision to begin after; default: now")
  private long from = -1;

  @Option(name = "--job", description = "only this job, as ORGANISATION/JOB; ends when it ends")
  private String job;

  @Override
  int call(Console console, ApiClient client) throws Exception {
    JobWatch watch = new JobWatch(client).setFromRevision(from);
    if (job != null) {
      watch.setOnly(JobArgument.parse(job));
    }
    var unused = watch.call(console);
    return ExitCode.OK;
  }
}
