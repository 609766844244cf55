package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.peridotroute.lib.JobKey;
import org.peridotroute.server.view.JobView;

/** Cancels a job. */
@Command(name = "cancel", description = "cancel a job")
public final class CancelCommand extends ApiCommand {
  @Arguments(title = "ORGANISATION/JOB", description = "the job")
  @Required
  private String job;

  @Override
  int call(Console console, ApiClient client) throws Exception {
    JobKey key = JobArgument.parse(job);
    JobView unused =
        client.call("DELETE", JobArgument.path(key), null, new TypeReference<JobView>() {});
    console.out().println(key + " cancel accepted");
    return ExitCode.OK;
  }
}
