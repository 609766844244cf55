package org.peridotroute.bench.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.peridotroute.adapter.standin.StoreStandIn;
import org.peridotroute.bench.Arguments;
import org.peridotroute.scheduler.port.Topic;

/**
 * Runs entry VMs as processes against workers and a store with faults that overlap, and checks on
 * the side of the workers that no task runs twice, that each accepted job ends, and that nothing of
 * a cancelled job runs on. Options: {@code soak --seed N --seconds N --vms N --workers N --interval
 * MILLIS --fault-interval MILLIS --home DIR --folder DIR}. Exits with 1 if a check fails.
 */
public final class SoakMain {
  private static final long APPEND_MILLIS = 4;
  private static final long BOOT_MILLIS = 6_000;

  /** Time for which all jobs may go on after the faults have ended. */
  private static final long FINISH_MILLIS = 45_000;

  private static final String ROUTE =
      "{\"name\":\"q%1$d\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/q%1$d/\",\"service\":\"soak\","
          + "\"priority\":%1$d,\"max_attempts\":3,\"stretch\":2,\"slo_ms\":1000,\"public\":true}";

  private SoakMain() {}

  /**
   * Runs the soak.
   *
   * @param arguments the options listed at the class
   * @throws Exception if a process cannot be started or a fault does not end
   */
  public static void main(String[] arguments) throws Exception {
    // The server of the stand-ins delays small responses otherwise.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    Arguments options = new Arguments(List.of(arguments));
    long seed = options.number("--seed", 1);
    long untilMillis =
        System.currentTimeMillis() + BOOT_MILLIS + 1_000 * options.number("--seconds", 60);
    String given = options.text("--folder", "");
    Path folder =
        given.isEmpty()
            ? Files.createTempDirectory("peridotroute-soak")
            : Files.createDirectories(Path.of(given));
    StoreStandIn store = new StoreStandIn(APPEND_MILLIS);
    store.start();
    store.put(Topic.CONFIGURATION, "config", configuration());
    SoakWorkers workers = new SoakWorkers(store, (int) options.number("--workers", 24), seed);
    SoakVms vms =
        new SoakVms(
            store,
            (int) options.number("--vms", 4),
            Path.of(options.text("--home", "")).toAbsolutePath(),
            folder);
    workers.start();
    vms.start();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(vms)));
    Thread.sleep(BOOT_MILLIS);
    SoakCallers callers = new SoakCallers(vms, workers, seed);
    SoakFaults faults = new SoakFaults(store, vms, workers, seed);
    Thread calls = new Thread(() -> call(callers, untilMillis, options.number("--interval", 400)));
    calls.start();
    faults.run(untilMillis, (int) options.number("--fault-interval", 500));
    faults.stop();
    calls.join();
    int ended = vms.restartEnded();
    List<String> unfinished = awaitEnds(callers);
    System.out.printf(
        "{\"seed\":%d,\"jobs\":%d,\"starts\":%d,\"ends\":\"%s\",\"faults\":\"%s\",\"endedByThemselves\":%d,"
            + "\"violations\":%d,\"unfinished\":%d}%n",
        seed,
        callers.jobCount(),
        workers.startCount(),
        workers.ends(),
        faults.played(),
        ended,
        workers.violations().size(),
        unfinished.size());
    workers.violations().forEach(System.out::println);
    unfinished.forEach(System.out::println);
    workers.stop();
    stop(vms);
    boolean held = workers.violations().isEmpty() && unfinished.isEmpty() && ended == 0;
    System.exit(held ? 0 : 1);
  }

  private static String configuration() {
    return "{\"version\":1,\"routes\":[%s,%s,%s],\"services\":[{\"name\":\"soak\"}],\"tenants\":[]}"
        .formatted(ROUTE.formatted(0), ROUTE.formatted(1), ROUTE.formatted(2));
  }

  private static void call(SoakCallers callers, long untilMillis, long intervalMillis) {
    try {
      callers.run(untilMillis, intervalMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static List<String> awaitEnds(SoakCallers callers) throws InterruptedException {
    long deadlineMillis = System.currentTimeMillis() + FINISH_MILLIS;
    List<String> unfinished = callers.unfinished();
    while (!unfinished.isEmpty() && System.currentTimeMillis() < deadlineMillis) {
      Thread.sleep(1_000);
      unfinished = callers.unfinished();
    }
    return unfinished;
  }

  private static void stop(SoakVms vms) {
    try {
      vms.stop();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
