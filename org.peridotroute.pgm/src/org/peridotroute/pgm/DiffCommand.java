package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import org.peridotroute.http.Json;
import org.peridotroute.server.view.OrganisationView;

/** Tells how declarations differ from what is in force. Changes nothing. */
@Command(name = "diff", description = "tell how declarations differ from what is in force")
public final class DiffCommand extends ManifestCommand {
  @Override
  void onDifference(
      Console console,
      ApiClient client,
      Manifest.Declaration declaration,
      OrganisationView inForce) {
    console.out().println("organisation " + declaration.name());
    if (inForce != null) {
      console.out().println("- " + Json.write(inForce.spec()));
    }
    console.out().println("+ " + Json.write(declaration.spec()));
  }

  @Override
  int exitCode(int changed) {
    return changed == 0 ? ExitCode.OK : ExitCode.REFUSED;
  }
}
