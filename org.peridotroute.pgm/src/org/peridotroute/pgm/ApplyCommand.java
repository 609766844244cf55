package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Command;
import org.peridotroute.http.Json;
import org.peridotroute.server.view.OrganisationView;

/** Applies declared organisations. Each is rejected if its base revision is no longer current. */
@Command(name = "apply", description = "apply declared organisations")
public final class ApplyCommand extends ManifestCommand {
  @Override
  void onDifference(
      Console console, ApiClient client, Manifest.Declaration declaration, OrganisationView current)
      throws CommandException {
    long currentRevision = current == null ? 0 : current.revision();
    long expectedRevision =
        declaration.revision() == null ? currentRevision : declaration.revision();
    OrganisationView unused =
        client.call(
            "PUT",
            path(declaration) + "?revision=" + expectedRevision,
            Json.write(declaration.spec()),
            new TypeReference<OrganisationView>() {});
    String change = current == null ? "created" : "changed";
    console.out().println("organisation " + declaration.name() + " " + change);
  }

  @Override
  int exitCode(int changedCount) {
    return ExitCode.OK;
  }
}
