package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import org.peridotroute.http.HttpReply;
import org.peridotroute.server.view.OrganisationView;

/** Base of commands that compare declarations with what is in force. */
public abstract class ManifestCommand extends ApiCommand {
  @Option(
      name = {"-f", "--file"},
      description = "file of declarations, or a folder of such files")
  @Required
  private String file;

  @Override
  final int call(Console console, ApiClient client) throws Exception {
    int changed = 0;
    for (Manifest.Declaration declaration : Manifest.read(Path.of(file))) {
      OrganisationView inForce = find(client, declaration);
      if (inForce != null && inForce.spec().equals(declaration.spec())) {
        console.out().println("organisation " + declaration.name() + " unchanged");
        continue;
      }
      changed++;
      onDifference(console, client, declaration, inForce);
    }
    return exitCode(changed);
  }

  /** Handles one declaration that differs from what is in force, which is null where nothing is. */
  abstract void onDifference(
      Console console, ApiClient client, Manifest.Declaration declaration, OrganisationView inForce)
      throws CommandException;

  /** Returns the exit code after so many differences. */
  abstract int exitCode(int changed);

  static String path(Manifest.Declaration declaration) {
    return "/v1/organisations/" + declaration.name();
  }

  private static OrganisationView find(ApiClient client, Manifest.Declaration declaration)
      throws CommandException {
    HttpReply reply = client.reply("GET", path(declaration), null);
    if (reply.status() == HttpReply.NOT_FOUND) {
      return null;
    }
    if (!reply.isOk()) {
      throw new CommandException(ExitCode.REFUSED, ApiClient.describe(reply));
    }
    return ApiClient.read(reply.body(), new TypeReference<OrganisationView>() {});
  }
}
