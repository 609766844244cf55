package org.peridotroute.bench.failover;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A real process under the bench: started from the jar, killed, paused and resumed. */
final class ServeProcess {
  private static final String SETTINGS =
      """
      {
        "vm": {"id": "%s", "place": "quimper"},
        "api": {"port": %d, "leaveMillis": 1500, "drainMillis": 5000},
        "peer": {"port": %d},
        "platform": {"url": "%s", "listMillis": 500}
      }
      """;

  private final String name;
  private final int apiPort;
  private final int peerPort;
  private final Path jar;
  private final Path folder;
  private final String platformUrl;
  private Process process;

  ServeProcess(String name, int apiPort, int peerPort, Path jar, Path folder, String platformUrl) {
    this.name = name;
    this.apiPort = apiPort;
    this.peerPort = peerPort;
    this.jar = jar;
    this.folder = folder;
    this.platformUrl = platformUrl;
  }

  String name() {
    return name;
  }

  String url() {
    return "http://127.0.0.1:" + apiPort;
  }

  String peer() {
    return "127.0.0.1:" + peerPort;
  }

  void start() throws IOException {
    Path settings = folder.resolve(name + ".json");
    Files.writeString(settings, SETTINGS.formatted(name, apiPort, peerPort, platformUrl));
    List<String> command =
        List.of(
            "java",
            "-XX:+UseSerialGC",
            "-Xmx256m",
            "-cp",
            jar.toString(),
            "org.peridotroute.pgm.PeridotrouteMain",
            "serve",
            "--settings",
            settings.toString());
    process =
        new ProcessBuilder(command)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
            .start();
  }

  /** Ends the process without warning. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  /** Ends the process as planned and waits for it. */
  void stop() throws InterruptedException {
    process.destroy();
    process.waitFor();
  }

  void pause() throws IOException, InterruptedException {
    signal("-STOP");
  }

  void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  private void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
  }
}
