package org.peridotroute.pgm;

import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.lib.JobKey;

/** Parses a job given on the command line as ORGANISATION/JOB. */
final class JobArgument {
  private JobArgument() {}

  static JobKey parse(String text) throws CommandException {
    String[] parts = text.split("/", 2);
    if (parts.length != 2) {
      throw new CommandException(
          ExitCode.USAGE, "job \"" + text + "\" is not valid: expected ORGANISATION/JOB");
    }
    try {
      return JobKey.of(parts[0], parts[1]);
    } catch (InvalidValueException e) {
      throw new CommandException(ExitCode.USAGE, e.getMessage());
    }
  }

  /** Returns the path of a job in the resource API. */
  static String path(JobKey job) {
    return "/v1/organisations/" + job.organisation() + "/jobs/" + job.name();
  }
}
