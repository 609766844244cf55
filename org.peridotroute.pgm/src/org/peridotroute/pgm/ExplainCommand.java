package org.peridotroute.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.Json;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.server.edge.ExplanationView;

/** Shows where a job would go now and why. Sends no job and changes nothing. */
@Command(
    name = "explain",
    description = "show where a job would go now and why, without sending it")
public final class ExplainCommand implements ConsoleCommand {
  private static final String PATH = "/explain";

  @Arguments(title = "ID", description = "id of an accepted job, 16 hexadecimal digits")
  private String id;

  @Option(
      name = {"-f", "--file"},
      description = "file with a job that has not been submitted, JSON")
  private String file;

  @Option(
      name = {"--url", "--vm"},
      description = "address of the readiness probe of the VM that plans")
  @Required
  private String url;

  @Option(name = "--output", description = "json or text; default: text")
  @AllowedRawValues(allowedValues = {"json", "text"})
  private String output = "text";

  @Override
  public int call(Console console) throws Exception {
    if ((id == null) == (file == null)) {
      throw new CommandException(ExitCode.USAGE, "expected either ID or -f FILE");
    }
    if (id != null && !JobId.isValid(id)) {
      throw new CommandException(
          ExitCode.USAGE, "job \"" + id + "\" is not valid: expected 16 hexadecimal digits");
    }
    String body = file == null ? null : readFile();
    try (ApiClient client = ApiClient.open(url)) {
      HttpReply reply =
          body == null
              ? client.send("GET", PATH + "?job=" + id, null)
              : client.send("POST", PATH, body);
      if (!reply.isOk()) {
        throw new CommandException(ExitCode.REFUSED, describe(reply));
      }
      print(console, reply.body());
      return ExitCode.OK;
    }
  }

  private String readFile() throws CommandException {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new CommandException(ExitCode.USAGE, "cannot read " + file + ": " + e);
    }
  }

  private void print(Console console, String body) throws CommandException {
    ExplanationView explanation = ApiClient.parse(body, new TypeReference<ExplanationView>() {});
    if (output.equals("json")) {
      console.out().println(Json.writePretty(explanation));
    } else {
      console.out().print(ExplanationText.format(explanation));
    }
  }

  private static String describe(HttpReply reply) {
    try {
      String message = Json.readTree(reply.body()).path("message").asText();
      return message.isEmpty() ? "refused with status " + reply.status() : message;
    } catch (JsonProcessingException e) {
      return "refused with status " + reply.status();
    }
  }
}
