package org.peridotroute.pgm;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.peridotroute.adapter.CallerRequestHandler;
import org.peridotroute.adapter.ContractFeatures;
import org.peridotroute.adapter.HttpKeyedLog;
import org.peridotroute.adapter.HttpWorkerClient;
import org.peridotroute.adapter.StoreRecordDecoder;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.server.edge.EdgeServer;
import org.peridotroute.server.edge.EdgeSettings;
import org.peridotroute.server.edge.EventLog;
import org.peridotroute.server.edge.LibraryLog;
import org.peridotroute.server.settings.SettingsException;

/**
 * Entry point of the process on an entry VM of the users' platform. Does the same as {@code
 * peridotroute edge}, without a command line, whose parser takes longer to load than the rest of
 * the process.
 */
public final class EdgeMain {
  /** Poll interval of the settings file; well below the time allowed for applying a change. */
  private static final long WATCH_INTERVAL_MILLIS = 1_000;

  private static final String SETTINGS_VARIABLE = "PERIDOTROUTE_CONFIG";

  private EdgeMain() {}

  /**
   * Runs the scheduler until a signal stops it.
   *
   * @param arguments path of the settings file; that in {@code PERIDOTROUTE_CONFIG} if absent
   * @throws InterruptedException if the thread is interrupted
   */
  public static void main(String[] arguments) throws InterruptedException {
    try {
      System.exit(run(arguments.length == 0 ? null : arguments[0]));
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      System.exit(ExitCode.USAGE);
    }
  }

  /**
   * Runs the scheduler until a signal stops it.
   *
   * @param file path of the settings file; that in {@code PERIDOTROUTE_CONFIG} if null
   * @return the exit code
   */
  static int run(String file) throws SettingsException, InterruptedException {
    String name = file == null ? System.getenv(SETTINGS_VARIABLE) : file;
    Path path = Path.of(name == null ? "" : name);
    EdgeSettings settings = EdgeSettings.read(path);
    EventLog events = new EventLog(settings.vm(), System.out);
    LibraryLog.install(events);
    EdgeServer server =
        new EdgeServer(
            settings,
            new EdgeServer.Adapters(
                (client, edgeSettings) -> new HttpKeyedLog(client, edgeSettings.store()),
                (client, edgeSettings) ->
                    new HttpWorkerClient(client, EdgeSettings.CALL_TIMEOUT_MILLIS),
                new StoreRecordDecoder(),
                (scheduler, eventLog) -> new CallerRequestHandler(scheduler, Time.SYSTEM, eventLog),
                ContractFeatures::of),
            events);
    server.start();
    Signals.handle("HUP", () -> reload(path, settings, events, server));
    watchFile(path, () -> reload(path, settings, events, server));
    return awaitStop(server);
  }

  /** Runs an action when the file changes, since a change need not be accompanied by SIGHUP. */
  private static void watchFile(Path path, Runnable onChange) {
    Thread thread =
        new Thread(
            () -> {
              long lastModified = path.toFile().lastModified();
              while (!Thread.currentThread().isInterrupted()) {
                try {
                  Thread.sleep(WATCH_INTERVAL_MILLIS);
                } catch (InterruptedException e) {
                  return;
                }
                long modified = path.toFile().lastModified();
                if (modified != lastModified) {
                  lastModified = modified;
                  onChange.run();
                }
              }
            },
            "settings-watch");
    thread.setDaemon(true);
    thread.start();
  }

  private static void reload(Path path, EdgeSettings current, EventLog events, EdgeServer server) {
    try {
      EdgeSettings reloaded = EdgeSettings.read(path);
      events.info("settings-reloaded", "changed", !reloaded.equals(current));
    } catch (SettingsException e) {
      events.warn("settings-unreadable", "reason", e.getMessage());
    }
    server.dump();
  }

  private static int awaitStop(EdgeServer server) throws InterruptedException {
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  server.stop();
                  stopped.countDown();
                },
                "stop"));
    var unused =
        server.brokenInvariant().thenAccept(cause -> Runtime.getRuntime().halt(ExitCode.REFUSED));
    stopped.await();
    return ExitCode.OK;
  }
}
