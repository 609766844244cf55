package org.peridotroute.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A VM as a separate process that a bench starts from the jar, kills, pauses, resumes and measures.
 * Used by one thread.
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
   * Creates a VM that is not yet started.
   *
   * @param name name of the VM
   * @param apiPort port of the resource API
   * @param peerPort port for connections of other VMs
   * @param jar the jar to run
   * @param folder folder for the settings file and the log file
   * @param platformUrl base URL of the platform
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

  /** Returns the name of the VM. */
  public String name() {
    return name;
  }

  /** Returns the base URL of the resource API. */
  public String url() {
    return "http://127.0.0.1:" + apiPort;
  }

  /** Returns the host and port to which other VMs connect. */
  public String peer() {
    return "127.0.0.1:" + peerPort;
  }

  /**
   * Writes the settings file and starts the process.
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
   * Kills the process with SIGKILL and waits until it has ended.
   *
   * @throws InterruptedException if interrupted while waiting
   */
  public void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  /**
   * Stops the process with SIGTERM, as a planned stop does, and waits until it has ended.
   *
   * @throws InterruptedException if interrupted while waiting
   */
  public void stop() throws InterruptedException {
    process.destroy();
    process.waitFor();
  }

  /**
   * Pauses the process with SIGSTOP.
   *
   * @throws IOException if it cannot be signalled
   * @throws InterruptedException if interrupted while waiting
   */
  public void pause() throws IOException, InterruptedException {
    signal("-STOP");
  }

  /**
   * Resumes the process with SIGCONT.
   *
   * @throws IOException if it cannot be signalled
   * @throws InterruptedException if interrupted while waiting
   */
  public void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  /** Returns the processor time used since the start in milliseconds, 0 if it is unknown. */
  public long cpuMillis() {
    return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
  }

  /**
   * Returns the resident set size.
   *
   * @return the size in bytes, 0 if the kernel does not report it
   * @throws IOException if the status file of the process cannot be read
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
