package org.peridotroute.standin.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.peridotroute.lib.HostPort;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.dispatch.DispatchSettings;
import org.peridotroute.scheduler.dispatch.Dispatcher;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.PolicySettings;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.node.JobExplainer;
import org.peridotroute.scheduler.node.RequestOutcome;
import org.peridotroute.scheduler.node.SchedulerVm;
import org.peridotroute.scheduler.plan.GangFirstPlacer;
import org.peridotroute.scheduler.plan.PlanSettings;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Topic;

/** Simulates VMs, a log and workers on virtual time, with faults. Used by one thread. */
public final class SimulatedCluster {
  /** The service that all workers belong to. */
  public static final String SERVICE = "render";

  /** Capacity of each worker. */
  public static final Capacity WORKER_CAPACITY = new Capacity(64_000, 256_000, 8);

  /** Number of data centres, among which the racks are distributed in turn. */
  public static final int DATA_CENTRES = 2;

  /** Number of workers in a rack. */
  public static final int WORKERS_PER_RACK = 4;

  /** Fault of the log as one VM sees it. */
  public enum LogFault {
    /** The log works. */
    NONE,
    /** Requests are refused at once and have no effect. */
    REFUSES,
    /** Requests time out and have no effect. */
    SILENT,
    /** Requests take effect but time out; reads time out without a result. */
    LOSES_ANSWERS,
    /** Appends time out and take effect later; reads work. */
    DELAYS_APPENDS
  }

  /** Time after which a closed data centre must get no more starts. */
  public static final long CLOSURE_MILLIS = 5_000;

  private static final long CANCEL_MILLIS = 3_000;
  private static final long POLL_MILLIS = 10;
  private static final double SLOW_CLOCK_RATE = 0.98;

  /** Time until a crashed worker is back. */
  private static final long CRASH_DOWN_MILLIS = 3_000;

  /** Time after a crash at which the platform drops the entry of the crashed worker. */
  private static final long UNLIST_MILLIS = 4_500;

  private final DispatchSettings dispatchSettings;
  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final LogModel log = new LogModel();
  private final SimulationOracle oracle =
      new SimulationOracle(time, WORKER_CAPACITY, CANCEL_MILLIS, CLOSURE_MILLIS);
  private final Map<String, SimulatedVm> vms = new LinkedHashMap<>();
  private final Map<WorkerId, WorkerHost> workers = new LinkedHashMap<>();
  private final Map<WorkerId, WorkerInfo> foreignEntries = new HashMap<>();
  private final SimulatedWorkerGateway workerGateway;
  private final SimulatedTasks tasks;
  private final SimulatedCallers callers;
  private final Events events;
  private boolean crashedWorkersKeepId;
  private long appendDelayMillis = 6_000;
  private final List<Configuration> configurations = new ArrayList<>();
  private int workerCount;
  private int incarnationCount;
  private int successorCount;

  /** Creates a cluster without optional features. */
  public SimulatedCluster(long seed, int vmCount, int workerCount, Events events) {
    this(seed, vmCount, workerCount, events, Set.of());
  }

  /**
   * Creates a cluster with optional features and boots its VMs and workers.
   *
   * @param seed seed of all random choices
   * @param vmCount number of VMs, named vm-0, vm-1 and so on
   * @param initialWorkers number of workers
   * @param events receives the events of all VMs
   * @param features the features that are switched on
   */
  public SimulatedCluster(
      long seed, int vmCount, int initialWorkers, Events events, Set<Feature> features) {
    dispatchSettings =
        new DispatchSettings(
            10_000,
            1_500,
            800,
            features.contains(Feature.FAST_TAKEOVER) ? 250 : 400,
            10_000,
            3_400,
            900,
            3,
            1_500,
            250_000,
            new PolicySettings(features, CLOSURE_MILLIS, 1, 0, Map.of()));
    random = new Random(seed);
    this.events = events;
    tasks =
        new SimulatedTasks(
            random,
            () -> workers.values().stream().map(host -> host.incarnation),
            dispatchSettings.leaseMillis(),
            dispatchSettings.stopMillis() / 2,
            worker -> crashWorker(new WorkerId(worker.id())));
    workerGateway =
        new SimulatedWorkerGateway(
            time, random, oracle, workers, dispatchSettings.callTimeoutMillis());
    callers = new SimulatedCallers(time, random, vms, tasks, oracle);
    apply(SimulatedRecords.firstConfiguration());
    addWorkers(SERVICE, initialWorkers);
    for (int i = 0; i < vmCount; i++) {
      SimulatedVm vm = newVm("vm-" + i);
      vms.put(vm.name, vm);
      vm.boot();
    }
    advanceWorkers();
  }

  private SimulatedVm newVm(String name) {
    return new SimulatedVm(name, time, control -> newProcess(name, control));
  }

  private SchedulerVm newProcess(String name, Executor control) {
    Dispatcher.Ports ports =
        new Dispatcher.Ports(
            new SimulatedLogClient(
                time, random, log, () -> vms.get(name).logFault, () -> appendDelayMillis),
            workerGateway.from(name),
            control,
            time,
            events,
            new GangFirstPlacer(new PlanSettings(3, 3_400, 900, dispatchSettings.policy())));
    return new SchedulerVm(
        SimulatedVm.settings(name, "life" + incarnationCount++, dispatchSettings),
        ports,
        new SimulatedRecords(this::description, version -> configurations.get(version - 1)));
  }

  private WorkerInfo description(WorkerId id) {
    return workers.containsKey(id) ? workers.get(id).info : foreignEntries.get(id);
  }

  /**
   * Adds workers of a service, in racks of their own.
   *
   * @return their ids
   */
  public List<WorkerId> addWorkers(String service, int count) {
    List<WorkerId> added = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int number = workerCount++;
      WorkerId id = new WorkerId("w-" + number);
      int rack = number / WORKERS_PER_RACK;
      String dataCentre = "dc-" + rack % DATA_CENTRES;
      HostPort address = HostPort.parse("10.0." + number / 250 + "." + number % 250 + ":1");
      addWorker(SimulatedRecords.worker(id, service, address, dataCentre, "rack-" + rack));
      setListed(id, true);
      added.add(id);
    }
    return added;
  }

  private void addWorker(WorkerInfo info) {
    workers.put(info.id(), new WorkerHost(info));
    oracle.onWorker(info.id().value(), info.service());
    restartWorker(info.id());
  }

  /**
   * Puts a configuration of the next version in force.
   *
   * @param servicesByPriority services of the queues, by their priority; other queues are removed
   * @param services the services that it lists besides those of the queues
   */
  public void configure(Map<Integer, String> servicesByPriority, String... services) {
    apply(
        SimulatedRecords.configuration(
            configurations.size() + 1, servicesByPriority, List.of(services)));
  }

  private void apply(Configuration configuration) {
    configurations.add(configuration);
    configuration.queues().forEach(queue -> oracle.onQueue(queue.name(), queue.service()));
    append(Topic.CONFIGURATION, "config", new byte[] {(byte) configuration.version()});
  }

  private void append(Topic topic, String key, byte[] value) {
    var unused = log.append(topic, List.of(KeyedRecord.of(key, value)), -1, null);
  }

  private void advanceWorkers() {
    workers.values().forEach(host -> host.incarnation.advance());
    time.after(POLL_MILLIS, this::advanceWorkers);
  }

  /** Returns the virtual clock, which tests advance. */
  public VirtualTime time() {
    return time;
  }

  /** Returns the oracle that observes all workers. */
  public SimulationOracle oracle() {
    return oracle;
  }

  /** Returns the names of the VMs. */
  public List<String> vmNames() {
    return List.copyOf(vms.keySet());
  }

  /** Returns the ids of the workers. */
  public List<WorkerId> workerIds() {
    return List.copyOf(workers.keySet());
  }

  /** Returns the capacity that the runs on a worker occupy. */
  public Capacity usedCapacity(WorkerId id) {
    return workers.get(id).incarnation.used();
  }

  /** Returns the number of workers that hold ends which no planner has acknowledged. */
  public long unacknowledgedEnds() {
    return workers.values().stream()
        .filter(host -> host.incarnation.hasUnacknowledgedEnds(0))
        .count();
  }

  /** Returns the number of polls that some workers have got. */
  public long polls(List<WorkerId> ids) {
    return ids.stream().mapToLong(workerGateway::polls).sum();
  }

  /** Returns the name of the first running VM that acts as planner, or empty if none does. */
  public Optional<String> planner() {
    return vms.values().stream()
        .filter(vm -> vm.scheduler != null && !vm.paused && vm.scheduler.isPlanning())
        .map(vm -> vm.name)
        .findFirst();
  }

  /** Returns whether a VM acts as planner. */
  public boolean isPlanning(String name) {
    SimulatedVm vm = vms.get(name);
    return vm.scheduler != null && !vm.paused && vm.scheduler.isPlanning();
  }

  /** Starts a new incarnation of a worker. The tasks and lease of the previous one are lost. */
  public void restartWorker(WorkerId id) {
    WorkerHost host = workers.get(id);
    if (host.incarnation != null) {
      host.incarnation.terminate();
    }
    double rate = random.nextBoolean() ? SLOW_CLOCK_RATE : 1;
    host.incarnation = new WorkerModel(id.value(), time, rate, tasks, oracle);
    host.incarnation.setFault(host.fault);
  }

  /**
   * Replaces a worker by one with another id at the same address. The tasks of the former one are
   * lost, and the new one rejects calls meant for it. The list of workers stays as it is.
   */
  public void replaceWorker(WorkerId id, WorkerId successor) {
    WorkerHost host = workers.get(id);
    host.incarnation.terminate();
    host.replaced = true;
    addWorker(
        SimulatedRecords.worker(
            successor,
            host.info.service(),
            host.info.address(),
            host.info.dataCentre(),
            host.info.rack()));
  }

  /**
   * Crashes a worker. It is back after some seconds, under another id unless {@link
   * #setCrashedWorkersKeepId} was called.
   */
  public void crashWorker(WorkerId id) {
    WorkerHost host = workers.get(id);
    if (host.replaced || host.incarnation.isTerminated()) {
      return;
    }
    oracle.onCrashed(host.incarnation);
    host.incarnation.terminate();
    if (crashedWorkersKeepId) {
      time.after(CRASH_DOWN_MILLIS, () -> restartWorker(id));
      return;
    }
    WorkerId successor = new WorkerId("w-successor-" + ++successorCount);
    time.after(
        CRASH_DOWN_MILLIS,
        () -> {
          replaceWorker(id, successor);
          setListed(successor, true);
        });
    time.after(UNLIST_MILLIS, () -> setListed(id, false));
  }

  /** Makes crashed workers come back under the id that they had. */
  public void setCrashedWorkersKeepId() {
    crashedWorkersKeepId = true;
  }

  /** Makes a task crash every worker that starts it. */
  public void setCrashing(TaskId task, long afterMillis) {
    tasks.crashAfterMillis.put(task, afterMillis);
    oracle.onCrashingTask(task);
  }

  /** Changes the capacity that a worker has and publishes. */
  public void setCapacity(WorkerId id, Capacity capacity) {
    WorkerHost host = workers.get(id);
    host.info = host.info.withCapacity(capacity);
    oracle.onCapacityPublished(id.value(), capacity);
    setListed(id, true);
  }

  /** Closes a data centre for new work, or opens it again. */
  public void setClosed(String dataCentre, boolean closed) {
    append(
        Topic.CONFIGURATION,
        SimulatedRecords.closureKey(dataCentre),
        closed ? new byte[] {1} : null);
    workers.values().stream()
        .filter(host -> host.info.dataCentre().equals(dataCentre))
        .forEach(host -> oracle.onClosed(host.info.id().value(), closed));
  }

  /**
   * Lets a worker leave at notice. Its tasks are lost when it has left.
   *
   * @param noticeMillis time from the announcement until its process exits
   * @param unlistMillis time from the announcement until the worker is no longer listed
   */
  public void leave(WorkerId id, long noticeMillis, long unlistMillis) {
    announceLeave(id, noticeMillis);
    WorkerHost host = workers.get(id);
    time.after(
        noticeMillis,
        () -> {
          host.incarnation.terminate();
          host.gone = true;
        });
    time.after(unlistMillis, () -> setListed(id, false));
  }

  /**
   * Lets a worker announce that it leaves. It works on until it is told otherwise.
   *
   * @param noticeMillis least time for which it stays
   */
  public void announceLeave(WorkerId id, long noticeMillis) {
    WorkerHost host = workers.get(id);
    host.info = host.info.asDraining(noticeMillis);
    setListed(id, true);
  }

  /** Lets connections to a worker be refused, or accepted again. Its tasks go on running. */
  public void refuse(WorkerId id, boolean refusing) {
    workers.get(id).refusing = refusing;
  }

  /** Sets the fault of a worker, which restarts do not mend. */
  public void setFault(WorkerId id, WorkerFault fault) {
    WorkerHost host = workers.get(id);
    host.fault = fault;
    host.incarnation.setFault(fault);
  }

  /** Lists a program that is no worker, for a service that the configuration does not name. */
  public void listForeign(WorkerId id, HostPort address) {
    foreignEntries.put(id, SimulatedRecords.worker(id, "relay", address, "dc-0", "rack-0"));
    setListed(id, true);
  }

  /** Adds a record to the list of workers that the decoder fails to handle. */
  public void listUnexpected() {
    append(Topic.WORKERS, SimulatedRecords.UNEXPECTED, new byte[] {1});
  }

  /** Adds a worker to the list of workers, or removes it. */
  public void setListed(WorkerId id, boolean listed) {
    append(Topic.WORKERS, id.value(), listed ? new byte[] {1} : null);
  }

  /** Disconnects a worker from all VMs, or reconnects it. Its tasks go on running. */
  public void cut(WorkerId id, boolean disconnected) {
    workers.get(id).disconnected = disconnected;
  }

  /** Disconnects a worker from all VMs but one. Its tasks go on running. */
  public void cutFromOthers(String vm, WorkerId id) {
    workers.get(id).reachableFrom = vm;
  }

  /** Kills a VM's process and starts another after a delay. */
  public void kill(String name, long downMillis) {
    SimulatedVm vm = vms.get(name);
    vm.kill();
    int killedNumber = vm.processNumber;
    time.after(
        downMillis,
        () -> {
          if (vm.processNumber == killedNumber && vm.scheduler == null) {
            vm.paused = false;
            vm.boot();
          }
        });
  }

  /** Pauses a VM's process for a while. Its clocks go on. */
  public void pause(String name, long millis) {
    SimulatedVm vm = vms.get(name);
    vm.paused = true;
    time.after(
        millis,
        () -> {
          vm.paused = false;
          vm.drain();
        });
  }

  /** Sets the fault of the log as a VM sees it. */
  public void setLogFault(String name, LogFault fault) {
    vms.get(name).logFault = fault;
  }

  /** Sets the time after which delayed appends take effect. */
  public void setAppendDelayMillis(long value) {
    appendDelayMillis = value;
  }

  /** Returns the number of keys that the log keeps in a topic. */
  public int keptKeys(Topic topic) {
    return log.newest(topic).size();
  }

  /** Expires all log records so far; the newest record of each key stays readable. */
  public void expireHistory() {
    log.expireHistory();
  }

  /** Sets the share of calls that time out for the VM and are executed late. */
  public void setLateCalls(double share) {
    workerGateway.setLateCallShare(share);
  }

  /** Limits the link from the VMs to the workers to the capacity that the VMs assume. */
  public void limitWorkerLink() {
    workerGateway.setLinkBytesPerSecond(dispatchSettings.linkBytesPerSecond());
  }

  /** Makes all runs of a job fail. */
  public void setFailing(JobId id) {
    tasks.failingJobs.add(id);
  }

  /** Sets the share of runs that fail. */
  public void setFailingTasks(double share) {
    tasks.failingTaskShare = share;
  }

  /** Returns the callers. */
  public SimulatedCallers callers() {
    return callers;
  }

  /**
   * Submits a job to a random VM, and retries at random VMs until it is accepted.
   *
   * @param id id of the job
   * @param request the job
   * @param priority priority of its queue
   */
  public void submit(JobId id, JobRequest request, int priority) {
    callers.submit(id, request, priority);
  }

  /** Cancels a job at a random VM, and retries until the cancellation is acknowledged. */
  public void cancel(JobId id) {
    callers.cancel(id);
  }

  /** Returns the jobs that were accepted. */
  public Set<JobId> accepted() {
    return callers.accepted();
  }

  /** Returns the explainer of a VM; it may be asked while no event is being handled. */
  public JobExplainer explainer(String name) {
    return vms.get(name).scheduler.explainer();
  }

  /** Returns whether a VM reports that it is ready. */
  public boolean isReady(String name) {
    return vms.get(name).scheduler.isReady();
  }

  /** Returns the summary of its state that a VM writes into a dump. */
  public String describe(String name) {
    return vms.get(name).scheduler.describe();
  }

  /** Asks a VM whether a job exists. */
  public CompletableFuture<RequestOutcome> find(String name, JobId id) {
    return vms.get(name).scheduler.find(id);
  }

  /** Returns the phase of a job on each running VM that knows it. */
  public List<JobPhase> phases(JobId id) {
    List<JobPhase> phases = new ArrayList<>();
    for (SimulatedVm vm : vms.values()) {
      if (vm.scheduler != null) {
        vm.scheduler.phase(id).ifPresent(phases::add);
      }
    }
    return phases;
  }

  /** Returns the accepted jobs that are unknown to all running VMs or not ended on one of them. */
  public List<JobId> unfinished() {
    List<JobId> open = new ArrayList<>();
    for (JobId id : accepted()) {
      List<JobPhase> phases = phases(id);
      if (phases.isEmpty() || phases.stream().anyMatch(phase -> !phase.isEnded())) {
        open.add(id);
      }
    }
    return open;
  }
}
