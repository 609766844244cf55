package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.peridotroute.lib.Answer;
import org.peridotroute.lib.JobKey;
import org.peridotroute.server.view.AnswerView;

/** Prints the whole answer of a job. */
@Command(name = "answer", description = "print the whole answer of a job")
public final class AnswerCommand extends ApiCommand {
  @Arguments(title = "ORGANISATION/JOB", description = "the job")
  @Required
  private String job;

  @Override
  int call(Console console, ApiClient client) throws Exception {
    console.out().print(fetch(client, JobArgument.parse(job)).body());
    return ExitCode.OK;
  }

  /** Fetches an answer and checks that it is whole. */
  static AnswerView fetch(ApiClient client, JobKey job) throws CommandException {
    AnswerView answer =
        client.call(
            "GET", JobArgument.path(job) + "/answer", null, new TypeReference<AnswerView>() {});
    if (!new Answer(answer.body(), answer.sha256()).isIntact()) {
      throw new CommandException(ExitCode.UNREACHABLE, "the answer was cut on its way");
    }
    return answer;
  }
}
