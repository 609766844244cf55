package org.peridotroute.pgm;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import org.peridotroute.http.Json;

/** Prints the complete state of one VM's process as JSON. */
@Command(name = "dump", description = "print the complete state of one VM's process as JSON")
public final class DumpCommand extends ApiCommand {
  @Override
  int call(Console console, ApiClient client) throws Exception {
    JsonNode dump = client.call("GET", "/v1/dump", null, new TypeReference<JsonNode>() {});
    console.out().println(Json.writePretty(dump));
    return ExitCode.OK;
  }
}
