package org.peridotroute.bench.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.peridotroute.adapter.standin.ModelledWorkerStandIn;
import org.peridotroute.adapter.standin.StoreStandIn;
import org.peridotroute.bench.EdgeProcess;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.Time;
import org.peridotroute.scheduler.port.Topic;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;
import org.peridotroute.standin.world.SimulatedTasks;
import org.peridotroute.standin.world.SimulationOracle;
import org.peridotroute.standin.world.WorkerModel;

/**
 * The workers of a soak, their entries in the store, and the oracle that observes their runs.
 * Thread-safe; started once and stopped once.
 */
final class SoakWorkers {
  private static final Capacity CAPACITY = new Capacity(64_000, 131_072, 8);

  private static final long CANCEL_MILLIS = 3_000;

  /** Crashes of workers under runs of a task after which its job may be given up. */
  private static final int CRASHES_TO_GIVE_UP = 3;

  private static final long STEP_MILLIS = 5;
  private static final int WORKERS_PER_RACK = 8;
  private static final double SLOW_CLOCK_RATE = 0.98;

  /** Guards the models and the oracle. */
  private final Object lock = new Object();

  private final StoreStandIn store;
  private final Random random;
  private final SimulationOracle oracle =
      new SimulationOracle(Time.SYSTEM, CAPACITY, CANCEL_MILLIS, CANCEL_MILLIS);
  private final SimulatedTasks tasks;
  private final List<Worker> workers = new ArrayList<>();
  private final Map<TaskId, Integer> crashes = new HashMap<>();
  private final Thread stepper = new Thread(this::step, "soak-workers");
  private volatile boolean stopping;
  private int lives;

  /** One worker, which a successor with another id may replace. */
  final class Worker {
    private final int number;
    private final ModelledWorkerStandIn server;
    private String id;
    private boolean listed = true;
    private boolean down;
    private boolean draining;
    private long announcedEndMillis;
    private long nextHeartbeatMillis;

    Worker(int number) {
      this.number = number;
      id = newId();
      server = new ModelledWorkerStandIn(lock, this::newIncarnation);
      server.start();
    }

    private String newId() {
      String next = "w-%d-%d".formatted(number, ++lives);
      oracle.onWorker(next, service());
      return next;
    }

    private String service() {
      return SoakConfiguration.SERVICES.get(number % SoakConfiguration.SERVICES.size());
    }

    private WorkerModel newIncarnation() {
      double rate = random.nextBoolean() ? SLOW_CLOCK_RATE : 1;
      return new WorkerModel(id, Time.SYSTEM, rate, tasks, oracle);
    }

    /** Loses all calls and responses, or stops doing so. */
    void setCut(boolean value) {
      server.setCut(value);
    }

    /** Lets connections be refused, or accepted again. The runs go on. */
    void setRefusing(boolean value) {
      if (!down) {
        server.setRefusing(value);
      }
    }

    /** Removes the entry of the worker, or lets it write its entry again. */
    void setListed(boolean value) {
      synchronized (lock) {
        listed = value;
        if (!value) {
          store.remove(Topic.WORKERS, id);
        }
      }
    }

    /** Announces that the worker leaves; it stays until it is replaced. */
    void announceLeave(long noticeMillis) {
      synchronized (lock) {
        draining = true;
        announcedEndMillis = Time.SYSTEM.steadyMillis() + noticeMillis;
        nextHeartbeatMillis = 0;
      }
    }

    /** Ends the process of the worker; its port refuses connections. */
    void exit() {
      synchronized (lock) {
        down = true;
        if (!draining) {
          server.incarnation().runningTasks().forEach(task -> crashes.merge(task, 1, Integer::sum));
        }
        server.incarnation().terminate();
      }
      server.setRefusing(true);
    }

    /** Starts the process again, under its former id or a new one. */
    void begin(boolean sameId) {
      synchronized (lock) {
        if (!sameId) {
          store.remove(Topic.WORKERS, id);
          id = newId();
        }
        draining = false;
        listed = true;
        down = false;
        nextHeartbeatMillis = 0;
        server.restart();
      }
      server.setRefusing(false);
    }

    private void heartbeatIfDue(long nowMillis) {
      if (down || !listed || nowMillis < nextHeartbeatMillis) {
        return;
      }
      nextHeartbeatMillis = nowMillis + EdgeProcess.HEARTBEAT_MILLIS;
      store.put(Topic.WORKERS, id, entry(nowMillis));
    }

    private String entry(long nowMillis) {
      long remainingMillis = draining ? Math.max(0, announcedEndMillis - nowMillis) : -1;
      return server.entry(service(), "r-" + number / WORKERS_PER_RACK, CAPACITY, remainingMillis);
    }
  }

  SoakWorkers(StoreStandIn store, int count, long seed) {
    this.store = store;
    random = new Random(seed);
    tasks =
        new SimulatedTasks(
            new Random(seed),
            () -> workers.stream().map(worker -> worker.server.incarnation()),
            EdgeProcess.LEASE_MILLIS,
            EdgeProcess.STOP_MILLIS / 2,
            worker -> {
              throw new IllegalStateException("no task of a soak crashes " + worker.id());
            });
    for (int i = 0; i < count; i++) {
      workers.add(new Worker(i));
    }
  }

  void start() {
    stepper.setDaemon(true);
    stepper.start();
  }

  void stop() {
    stopping = true;
    workers.forEach(worker -> worker.server.stop());
  }

  List<Worker> workers() {
    return workers;
  }

  private void step() {
    while (!stopping) {
      synchronized (lock) {
        long now = Time.SYSTEM.steadyMillis();
        for (Worker worker : workers) {
          worker.server.incarnation().advance();
          worker.heartbeatIfDue(now);
        }
      }
      try {
        Thread.sleep(STEP_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Records a job before it is submitted to a queue. */
  void onSubmitted(JobId id, JobRequest request, String queue) {
    synchronized (lock) {
      tasks.addJob(id, request);
      oracle.onSubmitted(id, request);
      oracle.onQueued(id, queue);
    }
  }

  /** Records that a configuration sends a queue to a service, before it is published. */
  void onQueue(String queue, String service) {
    synchronized (lock) {
      oracle.onQueue(queue, service);
    }
  }

  /** Returns the number of runs of a job that were started. */
  int startCount(JobId id) {
    synchronized (lock) {
      return oracle.starts(id);
    }
  }

  /** Returns the number of runs of a job that go on. */
  int runningCount(JobId id) {
    synchronized (lock) {
      return oracle.runningCount(id);
    }
  }

  /**
   * Returns whether a job may be given up: workers have crashed under so many runs of one of its
   * tasks that the task counts as the cause.
   */
  boolean mayBeGivenUp(JobId id) {
    synchronized (lock) {
      return crashes.entrySet().stream()
          .anyMatch(
              entry -> entry.getKey().job().equals(id) && entry.getValue() >= CRASHES_TO_GIVE_UP);
    }
  }

  int startCount() {
    synchronized (lock) {
      return oracle.starts();
    }
  }

  Map<RunEnd, Integer> ends() {
    synchronized (lock) {
      return oracle.ends();
    }
  }

  List<String> violations() {
    synchronized (lock) {
      return oracle.violations();
    }
  }
}
