package org.peridotroute.bench.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.peridotroute.adapter.standin.StoreStandIn;
import org.peridotroute.bench.Arguments;
import org.peridotroute.bench.Figures;

/**
 * Runs entry VMs as processes against workers and a store with faults that overlap, and checks on
 * the side of the workers that no task runs twice, that tasks run on the service of their queue,
 * that each accepted job ends, that nothing of a cancelled job starts or runs on, and that no
 * process ends by itself. Options: {@code soak --seed N --seconds N --vms N --workers N --interval
 * MILLIS --fault-interval MILLIS --home DIR --folder DIR}; settings and logs of the VMs go to the
 * folder. Exits with status 1 if a check fails, and with status 2 if the soak could not be played.
 */
public final class SoakMain {
  private static final System.Logger LOGGER = System.getLogger(SoakMain.class.getName());
  private static final int COULD_NOT_PLAY = 2;
  private static final long APPEND_MILLIS = 4;
  private static final long BOOT_MILLIS = 6_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  /** Time within which all jobs have to end after the faults have. */
  private static final long FINISH_MILLIS = 45_000;

  private final long seed;
  private final long playMillis;
  private final long intervalMillis;
  private final int meanFaultMillis;
  private final StoreStandIn store = new StoreStandIn(APPEND_MILLIS);
  private final SoakWorkers workers;
  private final SoakConfiguration configuration;
  private final SoakVms vms;
  private final SoakCallers callers;
  private final SoakFaults faults;

  private SoakMain(Arguments options) throws IOException {
    seed = options.number("--seed", 1);
    playMillis = options.number("--seconds", 60) * MILLIS_PER_SECOND;
    intervalMillis = options.number("--interval", 400);
    meanFaultMillis = (int) options.number("--fault-interval", 500);
    String folder = options.text("--folder", "");
    workers = new SoakWorkers(store, (int) options.number("--workers", 24), seed);
    configuration = new SoakConfiguration(store, workers);
    vms =
        new SoakVms(
            store,
            (int) options.number("--vms", 4),
            Path.of(options.text("--home", "")).toAbsolutePath(),
            folder.isEmpty()
                ? Files.createTempDirectory("peridotroute-soak")
                : Files.createDirectories(Path.of(folder)));
    callers = new SoakCallers(store, vms, workers, seed);
    faults = new SoakFaults(store, configuration, vms, workers, seed);
  }

  /**
   * Runs the soak.
   *
   * @param arguments the options listed at the class
   * @throws IOException if the folder of settings and logs cannot be written
   */
  public static void main(String[] arguments) throws IOException {
    // The server of the stand-ins delays small responses otherwise.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    SoakMain soak = new SoakMain(new Arguments(List.of(arguments)));
    Runtime.getRuntime().addShutdownHook(new Thread(soak::stopVms));
    System.exit(soak.run());
  }

  /** Runs the soak and returns the exit status. */
  private int run() {
    try {
      start();
      return play() ? 0 : 1;
    } catch (IOException | RuntimeException e) {
      // The threads of the stand-ins would keep the process from ending.
      LOGGER.log(System.Logger.Level.ERROR, "the soak could not be played", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return COULD_NOT_PLAY;
  }

  private void start() throws IOException, InterruptedException {
    store.start();
    configuration.publish();
    workers.start();
    vms.start();
    Thread.sleep(BOOT_MILLIS);
  }

  /** Plays the faults and returns whether all checks hold. */
  private boolean play() throws IOException, InterruptedException {
    long untilMillis = System.currentTimeMillis() + playMillis;
    Thread calls = new Thread(() -> call(untilMillis), "callers");
    calls.start();
    int ended = faults.run(untilMillis, meanFaultMillis);
    configuration.settle();
    faults.stop();
    calls.join();
    ended += vms.restartEnded(vm -> false);
    List<String> unfinished = awaitEnds();
    ended += vms.restartEnded(vm -> false);
    workers.stop();
    store.stop();
    List<String> unasked = callers.unasked();
    report(ended, unfinished, unasked);
    return workers.violations().isEmpty()
        && unfinished.isEmpty()
        && unasked.isEmpty()
        && ended == 0;
  }

  private void call(long untilMillis) {
    try {
      callers.run(untilMillis, intervalMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<String> awaitEnds() throws InterruptedException {
    long deadlineMillis = System.currentTimeMillis() + FINISH_MILLIS;
    List<String> unfinished = callers.unfinished();
    while (!unfinished.isEmpty() && System.currentTimeMillis() < deadlineMillis) {
      Thread.sleep(MILLIS_PER_SECOND);
      unfinished = callers.unfinished();
    }
    return unfinished;
  }

  private void report(int ended, List<String> unfinished, List<String> unasked) {
    Figures figures = new Figures(System.out);
    figures.print("soak.seed", seed, "");
    figures.print("soak.jobs", callers.jobCount(), "jobs");
    figures.print("soak.withdrawn", callers.withdrawnCount(), "jobs");
    figures.print("soak.withdrawn.late", callers.lateCount(), "jobs");
    figures.print("soak.starts", workers.startCount(), "starts");
    workers
        .ends()
        .forEach(
            (end, count) ->
                figures.print("soak.ends." + end.name().toLowerCase(Locale.ROOT), count, "runs"));
    faults
        .played()
        .forEach((fault, count) -> figures.print("soak.faults." + fault, count, "faults"));
    figures.print("soak.violations", workers.violations().size(), "violations");
    figures.print("soak.unfinished", unfinished.size(), "jobs");
    figures.print("soak.unasked", unasked.size(), "jobs");
    figures.print("soak.processes.ended", ended, "processes");
    workers.violations().forEach(System.err::println);
    unfinished.forEach(System.err::println);
    unasked.forEach(System.err::println);
  }

  private void stopVms() {
    try {
      vms.stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
