package org.peridotroute.standin.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.scheduler.dispatch.DispatchSettings;
import org.peridotroute.scheduler.dispatch.Dispatcher;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.OrganisationAccess;
import org.peridotroute.scheduler.model.PolicySettings;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.node.RequestOutcome;
import org.peridotroute.scheduler.node.SchedulerVm;
import org.peridotroute.scheduler.node.SchedulerVmSettings;
import org.peridotroute.scheduler.plan.GangFirstPlacer;
import org.peridotroute.scheduler.plan.PlanSettings;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Topic;
import org.peridotroute.scheduler.port.WorkerGateway;

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
    LOSES_ANSWERS
  }

  /** Time after which a closed data centre must get no more starts. */
  public static final long CLOSURE_MILLIS = 5_000;

  private static final String CLOSURE_PREFIX = "closed/";

  private static final DispatchSettings DISPATCH_SETTINGS = dispatchSettings(Set.of());
  private static final long CANCEL_MILLIS = 3_000;
  private static final long TICK_MILLIS = 50;
  private static final long POLL_MILLIS = 10;
  private static final double SLOW_CLOCK_RATE = 0.98;

  /** Time until a crashed worker is back. */
  private static final long CRASH_DOWN_MILLIS = 3_000;

  /** Time after a crash at which the platform drops the entry of the crashed worker. */
  private static final long UNLIST_MILLIS = 4_500;

  private final Set<Feature> features;
  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final LogModel log = new LogModel();
  private final SimulationOracle oracle =
      new SimulationOracle(time, WORKER_CAPACITY, CANCEL_MILLIS, CLOSURE_MILLIS);
  private final Map<String, Vm> vms = new LinkedHashMap<>();
  private final Map<WorkerId, WorkerHost> workers = new LinkedHashMap<>();
  private final SimulatedWorkerGateway workerGateway;
  private final Map<JobId, JobRequest> requests = new HashMap<>();
  private final Set<JobId> accepted = new HashSet<>();
  private final Set<JobId> cancelled = new HashSet<>();
  private final Events events;
  private final Map<TaskId, Long> crashAfterMillis = new HashMap<>();
  private final Set<JobId> failingJobs = new HashSet<>();
  private double failingTaskShare;
  private boolean crashedWorkersKeepId;
  private int incarnationCount;
  private int successorCount;
  private boolean retrying = true;

  /** A scheduler VM, whose process can be killed, restarted and paused. */
  private final class Vm {
    private final String name;
    private final Deque<Runnable> inbox = new ArrayDeque<>();
    private SchedulerVm scheduler;
    private boolean paused;
    private LogFault logFault = LogFault.NONE;
    private int processNumber;

    Vm(String name) {
      this.name = name;
    }

    void boot() {
      processNumber++;
      inbox.clear();
      int bootNumber = processNumber;
      Executor control = action -> enqueue(bootNumber, action);
      SchedulerVmSettings settings =
          SchedulerVmSettings.newBuilder()
              .setVm(name)
              .setIncarnation("life" + incarnationCount++)
              .setDispatch(dispatchSettings(features))
              .setReadWaitMillis(1_500)
              .setHeartbeatWaitMillis(800)
              .setPlannerReadIntervalMillis(20)
              .setFollowerReadIntervalMillis(1_000)
              .setPlannerTimeoutMillis(1_600)
              .setLogTimeoutMillis(1_800)
              .setRequestTimeoutMillis(2_000)
              .build();
      Dispatcher.Ports ports =
          new Dispatcher.Ports(
              new SimulatedLogClient(time, random, log, () -> logFault),
              workerGateway,
              control,
              time,
              events,
              new GangFirstPlacer(new PlanSettings(3, 3_400, 900)));
      scheduler = new SchedulerVm(settings, ports, new Decoder());
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

    private void drain() {
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

  /** Returns the objects that the simulation holds in memory; the records only name them. */
  private final class Decoder implements SchedulerVm.Decoder {
    @Override
    public Optional<Configuration> decodeConfiguration(byte[] value) {
      return Optional.of(
          new Configuration(
              1,
              List.of(),
              List.of(new OrganisationAccess("org", List.of("key"), 8, List.of())),
              List.of()));
    }

    @Override
    public Optional<String> closedDataCentre(String key) {
      return key.startsWith(CLOSURE_PREFIX)
          ? Optional.of(key.substring(CLOSURE_PREFIX.length()))
          : Optional.empty();
    }

    @Override
    public Optional<WorkerInfo> decodeWorker(String id, byte[] value) {
      return Optional.of(workers.get(new WorkerId(id)).info);
    }
  }

  /** Derives the behaviour of tasks from the submitted jobs. */
  private final class TaskEnvironment implements WorkerModel.Environment {
    @Override
    public WorkerModel.Behaviour behaviour(TaskId task, int run) {
      StepSpec step = requests.get(task.job()).steps().get(task.step().step());
      boolean fails = random.nextDouble() < failingTaskShare || failingJobs.contains(task.job());
      return new WorkerModel.Behaviour(
          step.reserved(),
          step.service() ? Long.MAX_VALUE : step.estimateMillis(),
          fails,
          step.gang() ? step.count() : 0,
          crashAfterMillis.getOrDefault(task, Long.MAX_VALUE));
    }

    @Override
    public boolean failsBy(WorkerFault fault) {
      return fault.failingShare() > 0 && random.nextDouble() < fault.failingShare();
    }

    @Override
    public void onCrash(WorkerModel worker) {
      crashWorker(new WorkerId(worker.id()));
    }

    @Override
    public int countRunningMembers(TaskId task, int run) {
      int count = 0;
      StepSpec step = requests.get(task.job()).steps().get(task.step().step());
      for (int i = 0; i < step.count(); i++) {
        TaskId member = new TaskId(task.step(), i);
        for (WorkerHost host : workers.values()) {
          count += host.incarnation.runs(member, run) ? 1 : 0;
        }
      }
      return count;
    }

    @Override
    public void onMemberEnded(TaskId task, int run, WorkerGateway.RunEnd end) {
      StepSpec step = requests.get(task.job()).steps().get(task.step().step());
      for (int i = 0; i < step.count(); i++) {
        for (WorkerHost host : workers.values()) {
          host.incarnation.endMember(new TaskId(task.step(), i), run, end);
        }
      }
    }

    @Override
    public long maxLeaseMillis() {
      return DISPATCH_SETTINGS.leaseMillis();
    }

    @Override
    public long stopMillis() {
      return DISPATCH_SETTINGS.stopMillis() / 2;
    }
  }

  /** Creates a cluster without optional features. */
  public SimulatedCluster(long seed, int vmCount, int workerCount, Events events) {
    this(seed, vmCount, workerCount, events, Set.of());
  }

  /**
   * Creates a cluster and boots its VMs and workers.
   *
   * @param seed seed of all random choices
   * @param vmCount number of VMs, named vm-0, vm-1 and so on
   * @param workerCount number of workers
   * @param events receives the events of all VMs
   * @param features optional features of the scheduler
   */
  public SimulatedCluster(
      long seed, int vmCount, int workerCount, Events events, Set<Feature> features) {
    this.features = features;
    random = new Random(seed);
    this.events = events;
    workerGateway =
        new SimulatedWorkerGateway(
            time, random, oracle, workers, DISPATCH_SETTINGS.callTimeoutMillis());
    append(Topic.CONFIGURATION, "config", new byte[] {1});
    for (int i = 0; i < workerCount; i++) {
      WorkerId id = new WorkerId("w-" + i);
      int rack = i / WORKERS_PER_RACK;
      String dataCentre = "dc-" + rack % DATA_CENTRES;
      addWorker(id, dataCentre, "rack-" + rack, "10.0.0." + i + ":1");
      setListed(id, true);
    }
    for (int i = 0; i < vmCount; i++) {
      Vm vm = new Vm("vm-" + i);
      vms.put(vm.name, vm);
      vm.boot();
    }
    advanceWorkers();
  }

  private static DispatchSettings dispatchSettings(Set<Feature> features) {
    return new DispatchSettings(
        10_000,
        1_500,
        800,
        400,
        10_000,
        3_400,
        900,
        3,
        1_500,
        250_000,
        new PolicySettings(features, CLOSURE_MILLIS, 1, 0, 1, Map.of()));
  }

  private void addWorker(WorkerId id, String dataCentre, String rack, String address) {
    workers.put(
        id,
        new WorkerHost(
            new WorkerInfo(
                id,
                SERVICE,
                address,
                dataCentre,
                rack,
                List.of("a", rack),
                WORKER_CAPACITY,
                false,
                0,
                0,
                0)));
    restartWorker(id);
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

  /** Returns the name of the first running VM that acts as planner, or empty if none does. */
  public Optional<String> planner() {
    return vms.values().stream()
        .filter(vm -> vm.scheduler != null && !vm.paused && vm.scheduler.isPlanning())
        .map(vm -> vm.name)
        .findFirst();
  }

  /** Starts a new incarnation of a worker. The tasks and lease of the previous one are lost. */
  public void restartWorker(WorkerId id) {
    WorkerHost host = workers.get(id);
    if (host.incarnation != null) {
      host.incarnation.terminate();
    }
    double rate = random.nextBoolean() ? SLOW_CLOCK_RATE : 1;
    host.incarnation = new WorkerModel(id.value(), time, rate, new TaskEnvironment(), oracle);
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
    addWorker(successor, host.info.dataCentre(), host.info.rack(), host.info.address());
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
    crashAfterMillis.put(task, afterMillis);
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
    append(Topic.CONFIGURATION, CLOSURE_PREFIX + dataCentre, closed ? new byte[] {1} : null);
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
    WorkerHost host = workers.get(id);
    host.info = host.info.asDraining(noticeMillis);
    setListed(id, true);
    time.after(
        noticeMillis,
        () -> {
          host.incarnation.terminate();
          host.gone = true;
        });
    time.after(unlistMillis, () -> setListed(id, false));
  }

  /** Sets the fault of a worker, which restarts do not mend. */
  public void setFault(WorkerId id, WorkerFault fault) {
    WorkerHost host = workers.get(id);
    host.fault = fault;
    host.incarnation.setFault(fault);
  }

  /** Adds a worker to the list of workers, or removes it. */
  public void setListed(WorkerId id, boolean listed) {
    append(Topic.WORKERS, id.value(), listed ? new byte[] {1} : null);
  }

  /** Disconnects a worker from all VMs, or reconnects it. Its tasks go on running. */
  public void cut(WorkerId id, boolean disconnected) {
    workers.get(id).disconnected = disconnected;
  }

  /** Kills a VM's process and starts another after a delay. */
  public void kill(String name, long downMillis) {
    Vm vm = vms.get(name);
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
    Vm vm = vms.get(name);
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
    workerGateway.setLinkBytesPerSecond(DISPATCH_SETTINGS.linkBytesPerSecond());
  }

  /** Makes all runs of a job fail. */
  public void setFailing(JobId id) {
    failingJobs.add(id);
  }

  /** Sets the share of runs that fail. */
  public void setFailingTasks(double share) {
    failingTaskShare = share;
  }

  /**
   * Submits a job to a random VM, and retries at random VMs until it is accepted.
   *
   * @param id id of the job
   * @param request the job
   * @param priority priority of its queue
   */
  public void submit(JobId id, JobRequest request, int priority) {
    requests.put(id, request);
    oracle.onSubmitted(id, request);
    trySubmit(submission(id, request, priority));
  }

  private Submission submission(JobId id, JobRequest request, int priority) {
    return new Submission(
        id,
        "org",
        "queue-" + priority,
        SERVICE,
        new Submission.Terms(priority, 4, 3, 1_000),
        time.wallMillis(),
        request);
  }

  /** Submits a job to one VM, without retries. */
  public CompletableFuture<RequestOutcome> submitAt(String name, JobId id, JobRequest request) {
    requests.put(id, request);
    oracle.onSubmitted(id, request);
    return vms.get(name).scheduler.submit(submission(id, request, 0), 2_000);
  }

  private Vm randomLiveVm() {
    List<Vm> live = vms.values().stream().filter(vm -> vm.scheduler != null && !vm.paused).toList();
    return live.isEmpty() ? null : live.get(random.nextInt(live.size()));
  }

  private void trySubmit(Submission submission) {
    if (!retrying) {
      return;
    }
    Vm vm = randomLiveVm();
    boolean configured = vm != null && vm.scheduler.configuration() != null;
    if (!configured) {
      time.after(500, () -> trySubmit(submission));
      return;
    }
    var unused =
        vm.scheduler
            .submit(submission, 2_000)
            .thenAccept(
                outcome -> {
                  if (outcome == RequestOutcome.DONE) {
                    accepted.add(submission.id());
                  } else {
                    time.after(500, () -> trySubmit(submission));
                  }
                });
  }

  /** Cancels a job at a random VM, and retries until the cancellation is acknowledged. */
  public void cancel(JobId id) {
    Vm vm = randomLiveVm();
    if (vm == null) {
      time.after(500, () -> cancel(id));
      return;
    }
    var unused =
        vm.scheduler
            .cancel(id, 2_000)
            .thenAccept(
                outcome -> {
                  if (outcome == RequestOutcome.DONE) {
                    cancelled.add(id);
                    oracle.onCancelled(id);
                  } else {
                    time.after(500, () -> cancel(id));
                  }
                });
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

  /** Stops all retries of submissions. */
  public void stopRetries() {
    retrying = false;
  }

  /** Returns the jobs that were accepted. */
  public Set<JobId> accepted() {
    return Set.copyOf(accepted);
  }

  /** Returns the phase of a job on each running VM that knows it. */
  public List<JobPhase> phases(JobId id) {
    List<JobPhase> phases = new ArrayList<>();
    for (Vm vm : vms.values()) {
      if (vm.scheduler != null) {
        vm.scheduler.phase(id).ifPresent(phases::add);
      }
    }
    return phases;
  }

  /** Returns the accepted jobs that are unknown to all running VMs or not ended on one of them. */
  public List<JobId> unfinished() {
    List<JobId> open = new ArrayList<>();
    for (JobId id : accepted) {
      List<JobPhase> phases = phases(id);
      if (phases.isEmpty() || phases.stream().anyMatch(phase -> !phase.isEnded())) {
        open.add(id);
      }
    }
    return open;
  }
}
