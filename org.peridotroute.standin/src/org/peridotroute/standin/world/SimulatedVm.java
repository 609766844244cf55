package org.peridotroute.standin.world;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.peridotroute.scheduler.dispatch.DispatchSettings;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.node.SchedulerVm;
import org.peridotroute.scheduler.node.SchedulerVmSettings;

/** A scheduler VM of the simulation, whose process can be killed, restarted and paused. */
final class SimulatedVm {
  private static final long TICK_MILLIS = 50;

  final String name;
  SchedulerVm scheduler;
  boolean paused;
  SimulatedCluster.LogFault logFault = SimulatedCluster.LogFault.NONE;
  int processNumber;
  private final VirtualTime time;
  private final Function<Executor, SchedulerVm> process;
  private final Deque<Runnable> inbox = new ArrayDeque<>();

  /**
   * Creates a VM without a process.
   *
   * @param process creates the process with the executor of its control thread
   */
  SimulatedVm(String name, VirtualTime time, Function<Executor, SchedulerVm> process) {
    this.name = name;
    this.time = time;
    this.process = process;
  }

  /** Returns the settings of a process. */
  static SchedulerVmSettings settings(
      String name, String incarnation, DispatchSettings dispatchSettings) {
    boolean closeFollower =
        dispatchSettings.policy().has(Feature.FAST_TAKEOVER) && !name.equals("vm-0");
    return SchedulerVmSettings.newBuilder()
        .setVm(name)
        .setIncarnation(incarnation)
        .setDispatch(dispatchSettings)
        .setReadWaitMillis(1_500)
        .setHeartbeatWaitMillis(800)
        .setPlannerReadIntervalMillis(20)
        .setFollowerReadIntervalMillis(1_000)
        .setProgressWaitMillis(closeFollower ? 250 : 800)
        .setProgressReadIntervalMillis(closeFollower ? 150 : 1_000)
        .setPlannerTimeoutMillis(closeFollower ? 900 : 1_600)
        .setLogTimeoutMillis(1_800)
        .setRequestTimeoutMillis(2_000)
        .build();
  }

  void boot() {
    processNumber++;
    inbox.clear();
    int bootNumber = processNumber;
    Executor control = action -> enqueue(bootNumber, action);
    scheduler = process.apply(control);
    control.execute(scheduler::start);
    tick(bootNumber);
  }

  private void enqueue(int bootNumber, Runnable action) {
    if (bootNumber != processNumber) {
      return;
    }
    inbox.add(action);
    if (inbox.size() == 1) {
      time.after(0, this::drain);
    }
  }

  void drain() {
    while (!paused && scheduler != null && !inbox.isEmpty()) {
      inbox.poll().run();
      if (inbox.isEmpty() && scheduler != null) {
        scheduler.step();
      }
    }
  }

  private void tick(int bootNumber) {
    if (bootNumber == processNumber && scheduler != null) {
      if (!paused) {
        drain();
        scheduler.step();
      }
      time.after(TICK_MILLIS, () -> tick(bootNumber));
    }
  }

  void kill() {
    processNumber++;
    scheduler = null;
    inbox.clear();
  }
}
