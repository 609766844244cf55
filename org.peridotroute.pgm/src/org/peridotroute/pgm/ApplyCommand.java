package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Command;
import org.peridotroute.http.Json;
import org.peridotroute.server.view.OrganisationView;

/** Brings declarations into force, each checked against the revision it was made from. */
@Command(name = "apply", description = "bring declarations into force")
public final class ApplyCommand extends ManifestCommand {
  @Override
  void onDifference(
      Console console, ApiClient client, Manifest.Declaration declaration, OrganisationView inForce)
      throws CommandException {
    long current = inForce == null ? 0 : inForce.revision();
    long expected = declaration.revision() == null ? current : declaration.revision();
    OrganisationView unused =
        client.call(
            "PUT",
            path(declaration) + "?revision=" + expected,
            Json.write(declaration.spec()),
            new TypeReference<OrganisationView>() {});
    String what = inForce == null ? "created" : "changed";
    console.out().println("organisation " + declaration.name() + " " + what);
  }

  @Override
  int exitCode(int changed) {
    return ExitCode.OK;
  }
}
