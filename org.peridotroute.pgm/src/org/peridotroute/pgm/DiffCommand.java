package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import org.peridotroute.http.Json;
import org.peridotroute.server.view.OrganisationView;

/** Shows how declared organisations differ from the current configuration. Changes nothing. */
@Command(
    name = "diff",
    description = "show how declared organisations differ from the current configuration")
public final class DiffCommand extends ManifestCommand {
  @Override
  void onDifference(
      Console console,
      ApiClient client,
      Manifest.Declaration declaration,
      OrganisationView current) {
    console.out().println("organisation " + declaration.name());
    if (current != null) {
      console.out().println("- " + Json.write(current.spec()));
    }
    console.out().println("+ " + Json.write(declaration.spec()));
  }

  @Override
  int exitCode(int changedCount) {
    return changedCount == 0 ? ExitCode.OK : ExitCode.REFUSED;
  }
}
