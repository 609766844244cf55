package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.peridotroute.adapter.CallerRequestHandler;
import org.peridotroute.adapter.HttpKeyedLog;
import org.peridotroute.adapter.HttpWorkerClient;
import org.peridotroute.adapter.StoreRecordDecoder;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.server.edge.EdgeServer;
import org.peridotroute.server.edge.EdgeSettings;
import org.peridotroute.server.edge.EventLog;
import org.peridotroute.server.settings.SettingsException;

/** Runs the scheduler on an entry VM of the users' platform until it is told to stop. */
@Command(name = "edge", description = "run the scheduler on an entry VM of the users' platform")
public final class EdgeCommand implements ConsoleCommand {
  /** Time between two looks at the settings file; well under the time to apply a change. */
  private static final long WATCH_MILLIS = 1_000;

  private static final String SETTINGS_VARIABLE = "PERIDOTROUTE_CONFIG";

  @Option(
      name = "--settings",
      description = "file of settings; by default the one that PERIDOTROUTE_CONFIG names")
  private String file;

  @Override
  public int call(Console console) throws Exception {
    return run(file == null ? System.getenv(SETTINGS_VARIABLE) : file);
  }

  /**
   * Runs until told to stop.
   *
   * @param file the file of settings
   * @return the exit code
   */
  static int run(String file) throws SettingsException, InterruptedException {
    Path path = Path.of(file == null ? "" : file);
    EdgeSettings settings = EdgeSettings.read(path);
    EventLog events = new EventLog(settings.vm(), System.out);
    EdgeServer vm =
        new EdgeServer(
            settings,
            new EdgeServer.Adapters(
                (caller, given) -> new HttpKeyedLog(caller, given.store()),
                (caller, given) -> new HttpWorkerClient(caller, EdgeSettings.CALL_TIMEOUT_MILLIS),
                new StoreRecordDecoder(),
                (node, log) -> new CallerRequestHandler(node, Time.SYSTEM, log)),
            events);
    vm.start();
    Signals.handle("HUP", () -> reload(path, settings, events, vm));
    watch(path, () -> reload(path, settings, events, vm));
    return awaitStop(vm);
  }

  /** Runs an action when the file changes, which need not come with a signal. */
  private static void watch(Path path, Runnable onChange) {
    Thread thread =
        new Thread(
            () -> {
              long seen = path.toFile().lastModified();
              while (!Thread.currentThread().isInterrupted()) {
                try {
                  Thread.sleep(WATCH_MILLIS);
                } catch (InterruptedException e) {
                  return;
                }
                long now = path.toFile().lastModified();
                if (now != seen) {
                  seen = now;
                  onChange.run();
                }
              }
            },
            "settings-watch");
    thread.setDaemon(true);
    thread.start();
  }

  private static void reload(Path path, EdgeSettings before, EventLog events, EdgeServer vm) {
    try {
      EdgeSettings now = EdgeSettings.read(path);
      events.info("settings-reloaded", "changed", !now.equals(before));
    } catch (SettingsException e) {
      events.warn("settings-unreadable", "reason", e.getMessage());
    }
    vm.dump();
  }

  private static int awaitStop(EdgeServer vm) throws InterruptedException {
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  vm.stop();
                  stopped.countDown();
                },
                "stop"));
    var unused =
        vm.brokenInvariant().thenAccept(cause -> Runtime.getRuntime().halt(ExitCode.REFUSED));
    stopped.await();
    return ExitCode.OK;
  }
}
