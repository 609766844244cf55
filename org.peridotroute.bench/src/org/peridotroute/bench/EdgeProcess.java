package org.peridotroute.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.peridotroute.standin.LoopbackPorts;

/**
 * A process on an entry VM, started from the jar with the command of the deploy file. Used by one
 * thread.
 */
public final class EdgeProcess {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Longest lease that the settings tell the process workers grant, in milliseconds. */
  public static final long LEASE_MILLIS = 6_000;

  /** Longest time that a stop takes, in milliseconds. */
  public static final long STOP_MILLIS = 900;

  /** Time between two heartbeats of a worker, in milliseconds. */
  public static final long HEARTBEAT_MILLIS = 1_500;

  private static final String SETTINGS =
      """
      { "vm": "%s", "dataCentre": "a", "callers": "127.0.0.1:%d", "readiness": "127.0.0.1:%d",
        "store": "%s", "leaseMillis": %d, "stopMillis": %d, "reclaimMillis": 3400,
        "farFactor": 3, "heartbeatMillis": %d, "graceSeconds": 6, "processorShare": 0.75,
        "processorSpeed": 1 }
      """;

  private final String vm;
  private final int callerPort = LoopbackPorts.findFree();
  private final Path home;
  private final Path settings;
  private final Path output;
  private final List<String> prefix;
  private final List<String> jvmOptions;
  private Process process;
  private long startNanos;

  /**
   * Writes the settings of a process that is not yet started.
   *
   * @param vm name of its VM
   * @param store host and port of the store
   * @param home root of the repository, where the process runs
   * @param folder receives its settings file and its output, both named as the VM
   * @param prefix words before the command, such as those that pin it to a core
   * @param jvmOptions options of the JVM besides those of the deploy file
   */
  public EdgeProcess(
      String vm, String store, Path home, Path folder, List<String> prefix, List<String> jvmOptions)
      throws IOException {
    this.vm = vm;
    this.home = home;
    this.prefix = prefix;
    this.jvmOptions = jvmOptions;
    settings = folder.resolve(vm + ".json");
    output = folder.resolve(vm + ".log");
    Files.writeString(
        settings,
        SETTINGS.formatted(
            vm,
            callerPort,
            LoopbackPorts.findFree(),
            store,
            LEASE_MILLIS,
            STOP_MILLIS,
            HEARTBEAT_MILLIS));
  }

  /** Returns the name of the VM. */
  public String vm() {
    return vm;
  }

  /** Returns the port for callers. */
  public int callerPort() {
    return callerPort;
  }

  /** Starts the process as the deploy file says. */
  public void start() throws IOException {
    List<String> command = new ArrayList<>(prefix);
    List<String> deployed = deployedCommand();
    command.add(deployed.get(0));
    command.addAll(jvmOptions);
    command.addAll(deployed.subList(1, deployed.size()));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .directory(home.toFile())
            .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
            .redirectError(ProcessBuilder.Redirect.appendTo(output.toFile()));
    builder.environment().put("PERIDOTROUTE_CONFIG", settings.toString());
    startNanos = System.nanoTime();
    process = builder.start();
  }

  private List<String> deployedCommand() throws IOException {
    for (String line : Files.readAllLines(home.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("no run command in deploy/system.toml");
  }

  /** Kills the process and waits until it has ended. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Stops the process with SIGTERM and waits until it has ended. */
  public void stop() throws InterruptedException {
    process.destroy();
    process.waitFor();
  }

  /** Sends a signal, such as "STOP". */
  public void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Returns whether the process is running. */
  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Returns the time since the start in milliseconds. */
  public long ageMillis() {
    return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
  }

  /** Returns the processor time that all threads have used, in milliseconds. */
  public double cpuMillis() throws IOException {
    long nanos = 0;
    try (Stream<Path> threads = Files.list(Path.of("/proc", "" + process.pid(), "task"))) {
      for (Path thread : threads.toList()) {
        nanos += onCpuNanos(thread.resolve("schedstat"));
      }
    }
    return (double) nanos / NANOS_PER_MILLI;
  }

  private static long onCpuNanos(Path schedstat) throws IOException {
    try {
      return Long.parseLong(Files.readString(schedstat).split(" ", 2)[0]);
    } catch (NoSuchFileException e) {
      // The thread has ended since the directory was listed.
      return 0;
    }
  }

  /** Returns the resident memory in megabytes. */
  public double residentMb() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc", "" + process.pid(), "status"))) {
      if (line.startsWith("VmHWM:")) {
        return Double.parseDouble(line.replaceAll("\\D", "")) / 1024;
      }
    }
    return 0;
  }
}
