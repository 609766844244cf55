package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import org.peridotroute.http.HttpReply;
import org.peridotroute.server.view.OrganisationView;

/** Base of commands that compare declared organisations with the current configuration. */
public abstract class ManifestCommand extends ApiCommand {
  @Option(
      name = {"-f", "--file"},
      description = "file of organisation declarations, or a directory of such files")
  @Required
  private String file;

  @Override
  final int call(Console console, ApiClient client) throws Exception {
    int changedCount = 0;
    for (Manifest.Declaration declaration : Manifest.read(Path.of(file))) {
      OrganisationView current = fetchCurrent(client, declaration);
      if (current != null && current.spec().equals(declaration.spec())) {
        console.out().println("organisation " + declaration.name() + " unchanged");
        continue;
      }
      changedCount++;
      onDifference(console, client, declaration, current);
    }
    return exitCode(changedCount);
  }

  /**
   * Handles a declaration that differs from the current configuration.
   *
   * @param current the organisation as currently configured, or null if it does not exist
   */
  abstract void onDifference(
      Console console, ApiClient client, Manifest.Declaration declaration, OrganisationView current)
      throws CommandException;

  /** Returns the exit code, given the number of declarations that differ. */
  abstract int exitCode(int changedCount);

  static String path(Manifest.Declaration declaration) {
    return "/v1/organisations/" + declaration.name();
  }

  private static OrganisationView fetchCurrent(ApiClient client, Manifest.Declaration declaration)
      throws CommandException {
    HttpReply reply = client.send("GET", path(declaration), null);
    if (reply.status() == HttpReply.NOT_FOUND) {
      return null;
    }
    if (!reply.isOk()) {
      throw new CommandException(ExitCode.REFUSED, ApiClient.describe(reply));
    }
    return ApiClient.parse(reply.body(), new TypeReference<OrganisationView>() {});
  }
}
