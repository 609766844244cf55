package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.Locale;
import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.fold.Outcome;
import org.peridotroute.http.Json;
import org.peridotroute.lib.Adjacency;
import org.peridotroute.lib.JobClass;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;
import org.peridotroute.lib.Shape;
import org.peridotroute.server.view.JobView;

/** Submits a job. Submitting it again with the same values is idempotent. */
@Command(
    name = "submit",
    description = "submit a job; submitting it again with the same values is idempotent")
public final class SubmitCommand extends ApiCommand {
  @Arguments(title = "ORGANISATION/JOB", description = "the job")
  @Required
  private String job;

  @Option(name = "--members", description = "number of members of the gang, 1 to 128")
  private int members = 1;

  @Option(name = "--accelerators", description = "number of accelerators of each member, 1 to 16")
  private int accelerators = 1;

  @Option(name = "--adjacency", description = "worker, rack or place")
  @AllowedRawValues(allowedValues = {"worker", "rack", "place"})
  private String adjacency = "rack";

  @Option(name = "--class", description = "interactive, urgent or batch")
  @AllowedRawValues(allowedValues = {"interactive", "urgent", "batch"})
  private String jobClass = "batch";

  @Option(name = "--idempotent", description = "declare that the job may safely run more than once")
  private boolean idempotent;

  @Option(name = "--payload", description = "payload passed unchanged to each member")
  private String payload = "";

  @Option(name = "--wait", description = "wait until the job ends and print its answer")
  private boolean wait;

  @Override
  int call(Console console, ApiClient client) throws Exception {
    JobKey key = JobArgument.parse(job);
    JobView view =
        client.call(
            "PUT", JobArgument.path(key), Json.write(spec()), new TypeReference<JobView>() {});
    console.out().println(key + " accepted");
    return wait ? awaitEnd(console, client, view) : ExitCode.OK;
  }

  private static int awaitEnd(Console console, ApiClient client, JobView accepted)
      throws CommandException {
    JobKey key = new JobKey(accepted.organisation(), accepted.name());
    JobView ended =
        new JobWatch(client)
            .setJob(key)
            .setFromRevision(accepted.createdRevision() - 1)
            .setShowRevisions(false)
            .run(console);
    if (ended.outcome() != Outcome.SUCCEEDED) {
      return ExitCode.REFUSED;
    }
    console.out().print(AnswerCommand.fetchAnswer(client, key).body());
    return ExitCode.OK;
  }

  private JobSpec spec() throws CommandException {
    try {
      Adjacency parsedAdjacency = Adjacency.valueOf(adjacency.toUpperCase(Locale.ROOT));
      return JobSpec.newBuilder(new Shape(members, accelerators, parsedAdjacency))
          .setJobClass(JobClass.valueOf(jobClass.toUpperCase(Locale.ROOT)))
          .setIdempotent(idempotent)
          .setPayload(payload)
          .build();
    } catch (InvalidValueException e) {
      throw new CommandException(ExitCode.USAGE, e.getMessage());
    }
  }
}
