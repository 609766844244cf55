package org.peridotroute.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A real process under a bench: started from the jar, killed, paused, resumed and measured. Used by
 * one thread.
 */
public final class ServeProcess {
  private static final String DEFAULT_OPTIONS =
      "-XX:+UseSerialGC -Xms8m -Xmx64m -Xss256k -XX:TieredStopAtLevel=1"
          + " -XX:ReservedCodeCacheSize=24m -XX:MaxMetaspaceSize=56m"
          + " -XX:MaxDirectMemorySize=8m -XX:MinHeapFreeRatio=10 -XX:MaxHeapFreeRatio=20";
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

  /**
   * Describes a process.
   *
   * @param name the VM's name
   * @param apiPort port of the resource API
   * @param peerPort port for the other VMs
   * @param jar the jar to run
   * @param folder where settings and logs go
   * @param platformUrl the platform
   */
  public ServeProcess(
      String name, int apiPort, int peerPort, Path jar, Path folder, String platformUrl) {
    this.name = name;
    this.apiPort = apiPort;
    this.peerPort = peerPort;
    this.jar = jar;
    this.folder = folder;
    this.platformUrl = platformUrl;
  }

  /** Returns the VM's name. */
  public String name() {
    return name;
  }

  /** Returns the URL of the resource API. */
  public String url() {
    return "http://127.0.0.1:" + apiPort;
  }

  /** Returns where peers reach it. */
  public String peer() {
    return "127.0.0.1:" + peerPort;
  }

  /**
   * Starts the process.
   *
   * @throws IOException if it cannot be started
   */
  public void start() throws IOException {
    Path settings = folder.resolve(name + ".json");
    Files.writeString(settings, SETTINGS.formatted(name, apiPort, peerPort, platformUrl));
    List<String> command = new ArrayList<>(List.of("java"));
    command.addAll(
        List.of(System.getenv().getOrDefault("SERVE_JAVA_OPTS", DEFAULT_OPTIONS).split(" ")));
    command.addAll(
        List.of(
            "-cp",
            jar.toString(),
            "org.peridotroute.pgm.PeridotrouteMain",
            "serve",
            "--settings",
            settings.toString()));
    process =
        new ProcessBuilder(command)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
            .start();
  }

  /**
   * Ends the process without warning.
   *
   * @throws InterruptedException if interrupted while waiting
   */
  public void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  /**
   * Ends the process as planned and waits for it.
   *
   * @throws InterruptedException if interrupted while waiting
   */
  public void stop() throws InterruptedException {
    process.destroy();
    process.waitFor();
  }

  /**
   * Pauses the process.
   *
   * @throws IOException if it cannot be signalled
   * @throws InterruptedException if interrupted while waiting
   */
  public void pause() throws IOException, InterruptedException {
    signal("-STOP");
  }

  /**
   * Lets the process go on.
   *
   * @throws IOException if it cannot be signalled
   * @throws InterruptedException if interrupted while waiting
   */
  public void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  /** Returns the processor time used so far, in milliseconds. */
  public long cpuMillis() {
    return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
  }

  /**
   * Returns the resident memory.
   *
   * @return the memory in bytes
   * @throws IOException if the kernel does not tell
   */
  public long residentBytes() throws IOException {
    String status = Files.readString(Path.of("/proc", Long.toString(process.pid()), "status"));
    return status
        .lines()
        .filter(line -> line.startsWith("VmRSS:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * 1024)
        .findFirst()
        .orElse(0);
  }

  private void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
  }
}
