package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
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
import org.peridotroute.server.settings.SettingsException;

/** Runs the scheduler on an entry VM of the users' platform until a signal stops it. */
@Command(name = "edge", description = "run the scheduler on an entry VM of the users' platform")
public final class EdgeCommand implements ConsoleCommand {
  /** Poll interval of the settings file; well below the time allowed for applying a change. */
  private static final long WATCH_INTERVAL_MILLIS = 1_000;

  private static final String SETTINGS_VARIABLE = "PERIDOTROUTE_CONFIG";

  @Option(name = "--settings", description = "settings file; default: $PERIDOTROUTE_CONFIG")
  private String file;

  @Override
  public int call(Console console) throws Exception {
    return run(file == null ? System.getenv(SETTINGS_VARIABLE) : file);
  }

  /**
   * Runs the scheduler until a signal stops it.
   *
   * @param file path of the settings file
   * @return the exit code
   */
  static int run(String file) throws SettingsException, InterruptedException {
    Path path = Path.of(file == null ? "" : file);
    EdgeSettings settings = EdgeSettings.read(path);
    EventLog events = new EventLog(settings.vm(), System.out);
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
