package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Option;

/**
 * Base of commands that call the resource API. Created by the command line parser and called once.
 */
public abstract class ApiCommand implements ConsoleCommand {
  @Option(
      name = {"--url", "--vm"},
      description = "address of a VM's resource API; default: $PERIDOT_URL or 127.0.0.1:7400")
  private String url;

  @Override
  public final int call(Console console) throws Exception {
    try (ApiClient client = ApiClient.open(address())) {
      return call(console, client);
    }
  }

  /**
   * Runs the command.
   *
   * @param console the output streams
   * @param client the client of the resource API
   * @return the exit code
   * @throws Exception a {@link CommandException}, or any unexpected exception
   */
  abstract int call(Console console, ApiClient client) throws Exception;

  private String address() {
    if (url != null) {
      return url;
    }
    String fromEnvironment = System.getenv("PERIDOT_URL");
    return fromEnvironment == null ? "127.0.0.1:7400" : fromEnvironment;
  }
}
