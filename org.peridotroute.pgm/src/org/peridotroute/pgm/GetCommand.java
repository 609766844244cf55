package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.peridotroute.http.Json;
import org.peridotroute.lib.JobKey;
import org.peridotroute.server.view.JobView;

/** Prints one job as JSON. */
@Command(name = "get", description = "print a job as JSON")
public final class GetCommand extends ApiCommand {
  @Arguments(title = "ORGANISATION/JOB", description = "the job")
  @Required
  private String job;

  @Override
  int call(Console console, ApiClient client) throws Exception {
    JobKey key = JobArgument.parse(job);
    JobView view = client.call("GET", JobArgument.path(key), null, new TypeReference<JobView>() {});
    console.out().println(Json.writePretty(view));
    return ExitCode.OK;
  }
}
