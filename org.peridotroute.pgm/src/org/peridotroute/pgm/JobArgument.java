package org.peridotroute.pgm;

import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.lib.JobKey;

/** A job as named on the command line. Stateless. */
final class JobArgument {
  private JobArgument() {}

  static JobKey parse(String text) throws CommandException {
    String[] parts = text.split("/", 2);
    if (parts.length != 2) {
      throw new CommandException(
          ExitCode.USAGE, "job \"" + text + "\" is not valid: write ORGANISATION/JOB");
    }
    try {
      return JobKey.of(parts[0], parts[1]);
    } catch (InvalidValueException e) {
      throw new CommandException(ExitCode.USAGE, e.getMessage());
    }
  }

  static String path(JobKey job) {
    return "/v1/organisations/" + job.organisation() + "/jobs/" + job.name();
  }
}
