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
import org.peridotroute.scheduler.model.JobId;
import org.peridotroute.scheduler.model.JobPhase;
import org.peridotroute.scheduler.model.JobRequest;
import org.peridotroute.scheduler.model.OrganisationAccess;
import org.peridotroute.scheduler.model.StepSpec;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.model.WorkerInfo;
import org.peridotroute.scheduler.node.Node;
import org.peridotroute.scheduler.node.NodeSettings;
import org.peridotroute.scheduler.node.RequestOutcome;
import org.peridotroute.scheduler.plan.GangFirstPlacer;
import org.peridotroute.scheduler.plan.PlanSettings;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedRecord;
import org.peridotroute.scheduler.port.Topic;
import org.peridotroute.scheduler.port.WorkerGateway;

/** Several VMs, a log and workers on virtual time, with faults on request. Used by one thread. */
public final class SimulatedCluster {
  /** Service of all workers. */
  public static final String SERVICE = "render";

  /** Room of each worker. */
  public static final Capacity ROOM = new Capacity(64_000, 256_000, 8);

  /** Workers in a rack. */
  public static final int RACK = 4;

  /** How the log treats a VM. */
  public enum LogFault {
    /** It answers. */
    NONE,
    /** It refuses and has done nothing. */
    REFUSES,
    /** It does not answer and has done nothing. */
    SILENT,
    /** It does what is asked and does not answer. */
    LOSES_ANSWERS
  }

  private static final DispatchSettings TIMES =
      new DispatchSettings(10_000, 1_500, 800, 400, 10_000, 3_400, 900, 3, 1_500);
  private static final long CANCEL_MILLIS = 3_000;
  private static final long TICK_MILLIS = 50;
  private static final long POLL_MILLIS = 10;
  private static final double SLOW_CLOCK = 0.98;
  private static final int LATE_LEAST_MILLIS = 2_000;
  private static final int LATE_RANGE_MILLIS = 10_000;

  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final LogModel log = new LogModel();
  private final SimulationOracle oracle = new SimulationOracle(time, ROOM, CANCEL_MILLIS);
  private final Map<String, Vm> vms = new LinkedHashMap<>();
  private final Map<WorkerId, WorkerHost> workers = new LinkedHashMap<>();
  private final Map<JobId, JobRequest> requests = new HashMap<>();
  private final Set<JobId> accepted = new HashSet<>();
  private final Set<JobId> cancelled = new HashSet<>();
  private final Events events;
  private double lateOrders;
  private double failingTasks;
  private int incarnations;
  private boolean asking = true;

  /** A machine: one life of a worker after the other. */
  private static final class WorkerHost {
    private final WorkerInfo info;
    private WorkerModel life;
    private boolean cut;

    WorkerHost(WorkerInfo info) {
      this.info = info;
    }
  }

  /** A VM of the scheduler. */
  private final class Vm {
    private final String name;
    private final Deque<Runnable> inbox = new ArrayDeque<>();
    private Node node;
    private boolean frozen;
    private LogFault logFault = LogFault.NONE;
    private int life;

    Vm(String name) {
      this.name = name;
    }

    void boot() {
      life++;
      inbox.clear();
      int mine = life;
      Executor control = action -> offer(mine, action);
      NodeSettings settings =
          NodeSettings.newBuilder()
              .setVm(name)
              .setIncarnation("life" + incarnations++)
              .setDispatch(TIMES)
              .setFollowWaitMillis(1_500)
              .setSignWaitMillis(800)
              .setFollowGapMillis(20)
              .setShowGapMillis(1_000)
              .setSilenceMillis(1_600)
              .setCutOffMillis(1_800)
              .setRequestMillis(2_000)
              .build();
      Dispatcher.Ports ports =
          new Dispatcher.Ports(
              new SimulatedLogClient(time, random, log, () -> logFault),
              new SimulatedWorkerGateway(),
              control,
              time,
              events,
              new GangFirstPlacer(new PlanSettings(3, 3_400, 900)));
      node = new Node(settings, ports, new Decoder());
      control.execute(node::start);
      tick(mine);
    }

    private void offer(int from, Runnable action) {
      if (from != life) {
        return;
      }
      inbox.add(action);
      if (inbox.size() == 1) {
        time.after(0, this::drain);
      }
    }

    private void drain() {
      while (!frozen && node != null && !inbox.isEmpty()) {
        inbox.poll().run();
        if (inbox.isEmpty() && node != null) {
          node.step();
        }
      }
    }

    private void tick(int from) {
      if (from == life && node != null) {
        if (!frozen) {
          drain();
          node.step();
        }
        time.after(TICK_MILLIS, () -> tick(from));
      }
    }

    void kill() {
      life++;
      node = null;
      inbox.clear();
    }
  }

  /** Workers as a VM reaches them. */
  private final class SimulatedWorkerGateway implements WorkerGateway {
    private WorkerHost machine(Target target) {
      return workers.get(new WorkerId(target.id()));
    }

    private <T> CompletableFuture<T> call(
        Target target, java.util.function.Function<WorkerModel, T> work, T silent) {
      CompletableFuture<T> answer = new CompletableFuture<>();
      WorkerHost machine = machine(target);
      boolean late = random.nextDouble() < lateOrders;
      WorkerModel meant = machine.life;
      time.after(
          1 + random.nextInt(12),
          () -> {
            if (machine.cut || machine.life.isDead()) {
              time.after(TIMES.orderTimeoutMillis(), () -> answer.complete(silent));
            } else if (late) {
              time.after(TIMES.orderTimeoutMillis(), () -> answer.complete(silent));
              time.after(
                  LATE_LEAST_MILLIS + random.nextInt(LATE_RANGE_MILLIS),
                  () -> {
                    // An order names the life that it is for; any other refuses it.
                    if (!meant.isDead()) {
                      meant.work();
                      oracle.setLate(true);
                      var unused = work.apply(meant);
                      oracle.setLate(false);
                    }
                  });
            } else {
              machine.life.work();
              T reply = work.apply(machine.life);
              time.after(1 + random.nextInt(12), () -> answer.complete(reply));
            }
          });
      return answer;
    }

    @Override
    public CompletableFuture<OrderReply> start(Target target, StartOrder order) {
      return call(target, life -> life.start(order), new OrderReply(OrderOutcome.UNKNOWN, -1));
    }

    @Override
    public CompletableFuture<OrderReply> stop(Target target, TaskId task, int run, long token) {
      return call(
          target, life -> life.stop(task, run, token), new OrderReply(OrderOutcome.UNKNOWN, -1));
    }

    @Override
    public CompletableFuture<LookReply> look(Target target, LookOrder order) {
      LookReply silent = new LookReply(OrderOutcome.UNKNOWN, -1, 0, List.of(), List.of());
      CompletableFuture<LookReply> answer = new CompletableFuture<>();
      WorkerHost machine = machine(target);
      time.after(
          1 + random.nextInt(12),
          () -> {
            if (!machine.cut && !machine.life.isDead()) {
              machine.life.acknowledge(order);
            }
            wait(
                machine,
                machine.life,
                order,
                time.steadyMillis() + order.waitMillis(),
                answer,
                silent);
          });
      return answer;
    }

    private void wait(
        WorkerHost machine,
        WorkerModel life,
        LookOrder order,
        long untilMillis,
        CompletableFuture<LookReply> answer,
        LookReply silent) {
      if (machine.cut || life.isDead()) {
        time.after(TIMES.orderTimeoutMillis(), () -> answer.complete(silent));
        return;
      }
      life.work();
      LookReply reply = life.look(order);
      boolean answered =
          reply.outcome() != OrderOutcome.DONE
              || life.hasNews(order.acknowledgedEnd())
              || time.steadyMillis() >= untilMillis;
      if (answered) {
        time.after(1 + random.nextInt(12), () -> answer.complete(reply));
      } else {
        time.after(POLL_MILLIS, () -> wait(machine, life, order, untilMillis, answer, silent));
      }
    }
  }

  /** Hands out what the world holds in memory; the records only name it. */
  private final class Decoder implements Node.Decoder {
    @Override
    public Optional<Configuration> configuration(byte[] value) {
      return Optional.of(
          new Configuration(
              1, List.of(), List.of(new OrganisationAccess("org", List.of("key"), 8)), List.of()));
    }

    @Override
    public Optional<WorkerInfo> worker(String id, byte[] value) {
      return Optional.of(workers.get(new WorkerId(id)).info);
    }
  }

  /** How tasks behave on workers. */
  private final class TaskEnvironment implements WorkerModel.Environment {
    @Override
    public WorkerModel.Behaviour behaviour(TaskId task, int run) {
      StepSpec step = requests.get(task.job()).steps().get(task.step().step());
      boolean fails = random.nextDouble() < failingTasks;
      return new WorkerModel.Behaviour(
          step.reserved(), step.estimateMillis(), fails, step.gang() ? step.count() : 0);
    }

    @Override
    public int present(TaskId task, int run) {
      int count = 0;
      StepSpec step = requests.get(task.job()).steps().get(task.step().step());
      for (int i = 0; i < step.count(); i++) {
        TaskId member = new TaskId(task.step(), i);
        for (WorkerHost machine : workers.values()) {
          count += machine.life.runs(member, run) ? 1 : 0;
        }
      }
      return count;
    }

    @Override
    public void broken(TaskId task, int run, WorkerGateway.RunEnd end) {
      StepSpec step = requests.get(task.job()).steps().get(task.step().step());
      for (int i = 0; i < step.count(); i++) {
        for (WorkerHost machine : workers.values()) {
          machine.life.breakRun(new TaskId(task.step(), i), run, end);
        }
      }
    }

    @Override
    public long maxLeaseMillis() {
      return TIMES.leaseMillis();
    }

    @Override
    public long stopMillis() {
      return TIMES.stopMillis() / 2;
    }
  }

  /**
   * Creates a world and boots it.
   *
   * @param seed seed of its luck
   * @param vmCount VMs
   * @param workerCount workers
   * @param events where the VMs' events go
   */
  public SimulatedCluster(long seed, int vmCount, int workerCount, Events events) {
    random = new Random(seed);
    this.events = events;
    append(Topic.CONFIGURATION, "config", new byte[] {1});
    for (int i = 0; i < workerCount; i++) {
      WorkerId id = new WorkerId("w-" + i);
      String rack = "rack-" + i / RACK;
      workers.put(
          id,
          new WorkerHost(
              new WorkerInfo(
                  id,
                  SERVICE,
                  "10.0.0." + i + ":1",
                  "dc",
                  rack,
                  List.of("a", rack),
                  ROOM,
                  false,
                  0,
                  0)));
      bear(id);
      append(Topic.WORKERS, id.value(), new byte[] {1});
    }
    for (int i = 0; i < vmCount; i++) {
      Vm vm = new Vm("vm-" + i);
      vms.put(vm.name, vm);
      vm.boot();
    }
    work();
  }

  private void append(Topic topic, String key, byte[] value) {
    var unused = log.append(topic, List.of(KeyedRecord.of(key, value)), -1, null);
  }

  private void work() {
    workers.values().forEach(machine -> machine.life.work());
    time.after(POLL_MILLIS, this::work);
  }

  /** Returns virtual time. */
  public VirtualTime time() {
    return time;
  }

  /** Returns what watches. */
  public SimulationOracle oracle() {
    return oracle;
  }

  /** Returns the names of the VMs. */
  public List<String> vmNames() {
    return List.copyOf(vms.keySet());
  }

  /** Returns the workers. */
  public List<WorkerId> workerIds() {
    return List.copyOf(workers.keySet());
  }

  /** Returns the VM that plans, or empty if none does. */
  public Optional<String> planner() {
    return vms.values().stream()
        .filter(vm -> vm.node != null && !vm.frozen && vm.node.isPlanning())
        .map(vm -> vm.name)
        .findFirst();
  }

  /** Begins a new life of a worker; the one before is gone. */
  public void bear(WorkerId id) {
    WorkerHost machine = workers.get(id);
    if (machine.life != null) {
      machine.life.die();
    }
    double rate = random.nextBoolean() ? SLOW_CLOCK : 1;
    machine.life = new WorkerModel(id.value(), time, rate, new TaskEnvironment(), oracle);
  }

  /** Cuts a worker off, or joins it again. It runs on. */
  public void cut(WorkerId id, boolean off) {
    workers.get(id).cut = off;
  }

  /** Kills a VM's process and starts another after a time. */
  public void kill(String name, long downMillis) {
    Vm vm = vms.get(name);
    vm.kill();
    int dead = vm.life;
    time.after(
        downMillis,
        () -> {
          if (vm.life == dead && vm.node == null) {
            vm.frozen = false;
            vm.boot();
          }
        });
  }

  /** Freezes a VM for a time; its clocks go on. */
  public void freeze(String name, long millis) {
    Vm vm = vms.get(name);
    vm.frozen = true;
    time.after(
        millis,
        () -> {
          vm.frozen = false;
          vm.drain();
        });
  }

  /** Sets how the log treats a VM. */
  public void setLogFault(String name, LogFault fault) {
    vms.get(name).logFault = fault;
  }

  /** Lets the log forget its history. */
  public void forgetHistory() {
    log.forgetHistory();
  }

  /** Sets the share of orders that get no answer and are carried out late. */
  public void setLateOrders(double share) {
    lateOrders = share;
  }

  /** Sets the share of tasks that fail. */
  public void setFailingTasks(double share) {
    failingTasks = share;
  }

  /**
   * Hands a job in at a VM, again at others until it is accepted.
   *
   * @param id the job
   * @param request what to do
   * @param priority its priority
   */
  public void submit(JobId id, JobRequest request, int priority) {
    requests.put(id, request);
    oracle.asked(id, request);
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

  /** Hands a job in at one VM, once. */
  public CompletableFuture<RequestOutcome> submitAt(String name, JobId id, JobRequest request) {
    requests.put(id, request);
    oracle.asked(id, request);
    return vms.get(name).node.submit(submission(id, request, 0), 2_000);
  }

  private Vm anyVm() {
    List<Vm> alive = vms.values().stream().filter(vm -> vm.node != null && !vm.frozen).toList();
    return alive.isEmpty() ? null : alive.get(random.nextInt(alive.size()));
  }

  private void trySubmit(Submission submission) {
    if (!asking) {
      return;
    }
    Vm vm = anyVm();
    boolean able = vm != null && vm.node.configuration() != null;
    if (!able) {
      time.after(500, () -> trySubmit(submission));
      return;
    }
    var unused =
        vm.node
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

  /** Cancels a job at some VM, again until that is acknowledged. */
  public void cancel(JobId id) {
    Vm vm = anyVm();
    if (vm == null) {
      time.after(500, () -> cancel(id));
      return;
    }
    var unused =
        vm.node
            .cancel(id, 2_000)
            .thenAccept(
                outcome -> {
                  if (outcome == RequestOutcome.DONE) {
                    cancelled.add(id);
                    oracle.cancelled(id);
                  } else {
                    time.after(500, () -> cancel(id));
                  }
                });
  }

  /** Returns whether a VM says that it can serve. */
  public boolean isReady(String name) {
    return vms.get(name).node.isReady();
  }

  /** Asks a VM whether there is a job. */
  public CompletableFuture<RequestOutcome> find(String name, JobId id) {
    return vms.get(name).node.find(id);
  }

  /** Lets callers give up instead of asking again. */
  public void stopAsking() {
    asking = false;
  }

  /** Returns the jobs that were accepted. */
  public Set<JobId> accepted() {
    return Set.copyOf(accepted);
  }

  /** Returns the phases in which the VMs show a job. */
  public List<JobPhase> phases(JobId id) {
    List<JobPhase> phases = new ArrayList<>();
    for (Vm vm : vms.values()) {
      if (vm.node != null) {
        vm.node.phase(id).ifPresent(phases::add);
      }
    }
    return phases;
  }

  /** Returns the accepted jobs that some VM does not show as over. */
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
