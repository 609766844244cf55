package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.peridotroute.lib.Answer;
import org.peridotroute.lib.JobKey;
import org.peridotroute.server.view.AnswerView;

/** Prints the complete answer of a job. */
@Command(name = "answer", description = "print the complete answer of a job")
public final class AnswerCommand extends ApiCommand {
  @Arguments(title = "ORGANISATION/JOB", description = "the job")
  @Required
  private String job;

  @Override
  int call(Console console, ApiClient client) throws Exception {
    console.out().print(fetchAnswer(client, JobArgument.parse(job)).body());
    return ExitCode.OK;
  }

  /** Fetches the answer of a job and verifies its SHA-256 digest. */
  static AnswerView fetchAnswer(ApiClient client, JobKey job) throws CommandException {
    AnswerView answer =
        client.call(
            "GET", JobArgument.path(job) + "/answer", null, new TypeReference<AnswerView>() {});
    if (!new Answer(answer.body(), answer.sha256()).isIntact()) {
      throw new CommandException(
          ExitCode.UNREACHABLE,
          "the answer of job " + job + " is incomplete: its SHA-256 digest does not match");
    }
    return answer;
  }
}
