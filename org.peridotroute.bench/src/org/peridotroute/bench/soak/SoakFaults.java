package org.peridotroute.bench.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.peridotroute.adapter.standin.StoreStandIn;
import org.peridotroute.bench.EdgeProcess;

/**
 * Faults of a soak at seeded moments. They overlap, and each ends by itself. At most one fault at a
 * time changes a given worker or VM.
 */
final class SoakFaults {
  /** A kind of fault. */
  private interface Fault {
    /** Begins the fault and schedules its end. */
    void begin(long forMillis) throws IOException, InterruptedException;
  }

  /** The beginning or the end of a fault. */
  private interface Action {
    void run() throws IOException, InterruptedException;
  }

  private static final long MIN_MILLIS = 300;
  private static final int RANGE_MILLIS = 5_200;
  private static final long NOTICE_MILLIS = 1_000;

  /** Time after the announcement at which a worker that leaves begins to refuse connections. */
  private static final long REFUSED_AFTER_MILLIS = NOTICE_MILLIS + 200;

  /** Time for which a worker stays after its announced end, besides that of its refusal. */
  private static final long STAY_MILLIS = 4_000;

  private static final long MAX_DOWN_MILLIS = 2_000;
  private static final long SLOW_CALL_MILLIS = 150;
  private static final double LATE_SHARE = 0.35;

  private final StoreStandIn store;
  private final SoakConfiguration configuration;
  private final SoakVms vms;
  private final SoakWorkers workers;
  private final Random random;
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
  private final Set<Object> busy = ConcurrentHashMap.newKeySet();
  private final Map<String, Integer> played = new TreeMap<>();
  private volatile Exception failure;

  SoakFaults(
      StoreStandIn store,
      SoakConfiguration configuration,
      SoakVms vms,
      SoakWorkers workers,
      long seed) {
    this.store = store;
    this.configuration = configuration;
    this.vms = vms;
    this.workers = workers;
    random = new Random(seed);
  }

  /**
   * Begins a fault at random intervals until the time is over.
   *
   * @return the number of processes that have ended though no fault ended them
   */
  int run(long untilMillis, int meanMillis) throws IOException, InterruptedException {
    int ended = 0;
    List<Fault> faults =
        List.of(
            this::cutWorker,
            this::refuseWorker,
            this::leaveWhileRefused,
            this::leaveWhileRefused,
            this::leave,
            this::unlist,
            this::crashWorker,
            this::killVm,
            this::freezeVm,
            this::rollVm,
            this::storeAway,
            this::storeSlow,
            this::storeLate,
            this::storeLate,
            this::moveQueue,
            this::moveQueue,
            this::removeQueue,
            this::nameQueuesOnly);
    while (System.currentTimeMillis() < untilMillis) {
      faults.get(random.nextInt(faults.size())).begin(MIN_MILLIS + random.nextInt(RANGE_MILLIS));
      Thread.sleep(random.nextInt(2 * meanMillis));
      ended += vms.restartEnded(busy::contains);
    }
    return ended;
  }

  /** Waits for the ends of the faults that go on. */
  void stop() throws InterruptedException {
    timer.shutdown();
    if (!timer.awaitTermination(1, TimeUnit.MINUTES)) {
      throw new IllegalStateException("a fault of the soak does not end");
    }
    if (failure != null) {
      throw new IllegalStateException("a fault of the soak could not be played", failure);
    }
  }

  /** Returns how often each kind of fault was played. */
  Map<String, Integer> played() {
    return played;
  }

  private void later(long millis, Action action) {
    var unused =
        timer.schedule(
            () -> {
              try {
                action.run();
              } catch (IOException | RuntimeException e) {
                failure = e;
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            millis,
            TimeUnit.MILLISECONDS);
  }

  /**
   * Plays a fault unless another one changes its subject already.
   *
   * @param begin begins the fault
   * @param forMillis time until its end
   * @param end ends the fault
   */
  private void play(String fault, Object subject, Action begin, long forMillis, Action end)
      throws IOException, InterruptedException {
    if (!busy.add(subject)) {
      return;
    }
    played.merge(fault, 1, Integer::sum);
    begin.run();
    later(
        forMillis,
        () -> {
          end.run();
          busy.remove(subject);
        });
  }

  private SoakWorkers.Worker randomWorker() {
    return workers.workers().get(random.nextInt(workers.workers().size()));
  }

  private EdgeProcess randomVm() {
    List<EdgeProcess> all = vms.vms();
    return random.nextBoolean() ? vms.planner() : all.get(random.nextInt(all.size()));
  }

  private void cutWorker(long forMillis) throws IOException, InterruptedException {
    SoakWorkers.Worker worker = randomWorker();
    play("cut", worker, () -> worker.setCut(true), forMillis, () -> worker.setCut(false));
  }

  private void refuseWorker(long forMillis) throws IOException, InterruptedException {
    SoakWorkers.Worker worker = randomWorker();
    play(
        "refuse",
        worker,
        () -> worker.setRefusing(true),
        forMillis,
        () -> worker.setRefusing(false));
  }

  /** A worker leaves, is cut off for a while after its announced end, and exits later. */
  private void leaveWhileRefused(long forMillis) throws IOException, InterruptedException {
    SoakWorkers.Worker worker = randomWorker();
    play(
        "leave-refused",
        worker,
        () -> {
          worker.announceLeave(NOTICE_MILLIS);
          later(REFUSED_AFTER_MILLIS, () -> worker.setRefusing(true));
          later(REFUSED_AFTER_MILLIS + forMillis, () -> worker.setRefusing(false));
        },
        NOTICE_MILLIS + STAY_MILLIS + forMillis,
        () -> replace(worker));
  }

  private void leave(long forMillis) throws IOException, InterruptedException {
    SoakWorkers.Worker worker = randomWorker();
    play(
        "leave",
        worker,
        () -> worker.announceLeave(NOTICE_MILLIS),
        NOTICE_MILLIS + forMillis,
        () -> replace(worker));
  }

  private static void replace(SoakWorkers.Worker worker) {
    worker.exit();
    worker.begin(false);
  }

  private void unlist(long forMillis) throws IOException, InterruptedException {
    SoakWorkers.Worker worker = randomWorker();
    play("unlist", worker, () -> worker.setListed(false), forMillis, () -> worker.setListed(true));
  }

  private void crashWorker(long forMillis) throws IOException, InterruptedException {
    boolean sameId = random.nextBoolean();
    SoakWorkers.Worker worker = randomWorker();
    play(
        sameId ? "crash-same-id" : "crash-new-id",
        worker,
        worker::exit,
        forMillis,
        () -> worker.begin(sameId));
  }

  private void killVm(long forMillis) throws IOException, InterruptedException {
    EdgeProcess vm = randomVm();
    play("kill", vm, vm::kill, Math.min(forMillis, MAX_DOWN_MILLIS), vm::start);
  }

  private void freezeVm(long forMillis) throws IOException, InterruptedException {
    EdgeProcess vm = randomVm();
    play("freeze", vm, () -> vm.signal("STOP"), forMillis, () -> vm.signal("CONT"));
  }

  private void rollVm(long forMillis) throws IOException, InterruptedException {
    EdgeProcess vm = randomVm();
    play(
        "roll",
        vm,
        () -> {},
        0,
        () -> {
          vm.stop();
          vm.start();
        });
  }

  private void storeAway(long forMillis) throws IOException, InterruptedException {
    play(
        "store-away",
        store,
        () -> store.setAvailable(false),
        forMillis,
        () -> store.setAvailable(true));
  }

  private void storeLate(long forMillis) throws IOException, InterruptedException {
    play(
        "store-late",
        store,
        () -> store.setLateShare(LATE_SHARE),
        forMillis,
        () -> store.setLateShare(0));
  }

  private void moveQueue(long forMillis) throws IOException, InterruptedException {
    int queue = random.nextInt(SoakConfiguration.QUEUES);
    play("move-queue", queue, () -> configuration.moveQueue(queue), forMillis, () -> {});
  }

  private void removeQueue(long forMillis) throws IOException, InterruptedException {
    int queue = random.nextInt(SoakConfiguration.QUEUES);
    play(
        "remove-queue",
        queue,
        () -> configuration.removeQueue(queue),
        forMillis,
        () -> configuration.restoreQueue(queue));
  }

  /** Drops the list of services, so that only those of the queues are named. */
  private void nameQueuesOnly(long forMillis) throws IOException, InterruptedException {
    play(
        "unlist-services",
        configuration,
        () -> configuration.setListsServices(false),
        forMillis,
        () -> configuration.setListsServices(true));
  }

  private void storeSlow(long forMillis) throws IOException, InterruptedException {
    play(
        "store-slow",
        store,
        () -> store.setDelayMillis(SLOW_CALL_MILLIS),
        forMillis,
        () -> store.setDelayMillis(0));
  }
}
