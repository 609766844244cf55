package org.peridotroute.bench.fuzz;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.peridotroute.fold.Folded;
import org.peridotroute.fold.JobFold;
import org.peridotroute.fold.JobPhase;
import org.peridotroute.fold.JobState;
import org.peridotroute.fold.Verdict;
import org.peridotroute.journal.LogEntry;
import org.peridotroute.journal.LogRecord;
import org.peridotroute.lib.Adjacency;
import org.peridotroute.lib.Directory;
import org.peridotroute.lib.GuaranteedShape;
import org.peridotroute.lib.Incarnation;
import org.peridotroute.lib.JobClass;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobSpec;
import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;
import org.peridotroute.lib.PlaceId;
import org.peridotroute.lib.RackId;
import org.peridotroute.lib.Shape;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.VmInfo;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.lib.WorkerInfo;
import org.peridotroute.policy.Decision;
import org.peridotroute.policy.GuaranteedBestFit;
import org.peridotroute.policy.PlacementPolicy;
import org.peridotroute.snapshot.SnapshotCodec;
import org.peridotroute.standin.WorkerStandIn;

/**
 * A small cluster under random actions and faults, watched by the oracle. Every choice comes from
 * {@link Choices}, so that the same choices give the same run. Used by one thread.
 */
public final class FuzzCluster {
  private static final int RACKS = 2;
  private static final int WORKERS_PER_RACK = 2;
  private static final int ACCELERATORS = 4;
  private static final int MAX_OPEN_JOBS = 24;
  private static final long HOLD_RACK_MILLIS = 5_000;
  private static final long SETTLE_MILLIS = 240_000;
  private static final long RECLAIM_BOUND_MILLIS = 30_000;
  private static final int SETTLE_STEP_MILLIS = 40;
  private static final int CALM_STEPS = 12;
  private static final int MAX_RUN_MILLIS = 12_000;

  private static final List<Shape> SHAPES =
      List.of(
          new Shape(1, 1, Adjacency.WORKER),
          new Shape(2, 1, Adjacency.RACK),
          new Shape(2, 2, Adjacency.RACK),
          new Shape(4, 1, Adjacency.RACK),
          new Shape(8, 1, Adjacency.RACK),
          new Shape(3, 4, Adjacency.PLACE),
          new Shape(16, 1, Adjacency.RACK));

  private static final List<JobClass> JOB_CLASSES = List.of(JobClass.values());
  private static final List<FaultKind> FAULT_KINDS = List.of(FaultKind.values());
  private static final OrganisationId LARGE = new OrganisationId("large");
  private static final OrganisationId SMALL = new OrganisationId("small");
  private static final OrganisationId GUEST = new OrganisationId("guest");
  private static final Shape LARGE_SHAPE = new Shape(8, 1, Adjacency.RACK);
  private static final Shape SMALL_SHAPE = new Shape(2, 2, Adjacency.RACK);

  private final FuzzOptions options;
  private final Choices choices;
  private final FuzzClock clock = new FuzzClock();
  private final FuzzLog log = new FuzzLog();
  private final Map<WorkerId, WorkerStandIn> workers = new TreeMap<>();
  private final Map<WorkerId, Boolean> leaving = new TreeMap<>();
  private final List<FuzzVm> vms = new ArrayList<>();
  private final FuzzNetwork network;
  private final CallerHistory caller = new CallerHistory();
  private final Oracle oracle;
  private final Map<FaultKind, Long> faults = new EnumMap<>(FaultKind.class);
  private JobState truth = JobState.EMPTY;
  private long steps;
  private int jobs;
  private int incarnations;

  /**
   * Makes a world in which nothing has happened yet.
   *
   * @param options what is put in
   * @param choices where choices come from
   */
  public FuzzCluster(FuzzOptions options, Choices choices) {
    this.options = options;
    this.choices = choices;
    for (int rack = 0; rack < RACKS; rack++) {
      for (int i = 0; i < WORKERS_PER_RACK; i++) {
        addWorker(rack, i);
      }
    }
    network = new FuzzNetwork(clock, workers, options.defect());
    oracle = new Oracle(caller, workers.values());
    for (int i = 0; i < options.vms(); i++) {
      vms.add(newVm("vm-" + (i + 1)));
    }
    declare(LARGE, LARGE_SHAPE, 1);
    declare(SMALL, SMALL_SHAPE, 1);
    declare(GUEST, null, 0);
    vms.get(0).write();
  }

  /** Returns what the oracle has found. */
  public List<Violation> violations() {
    return oracle.violations();
  }

  /** Returns the faults put in so far, by kind. */
  public Map<FaultKind, Long> faults() {
    return faults;
  }

  /** Returns the steps taken so far. */
  public long steps() {
    return steps;
  }

  /** Returns how many jobs callers were told to be accepted. */
  public int acceptedJobs() {
    return caller.accepted().size();
  }

  /**
   * Takes random steps, checking after each.
   *
   * @param count how many
   */
  public void run(long count) {
    for (long i = 0; i < count; i++) {
      act();
      steps++;
      check();
    }
  }

  /**
   * Ends all faults, gives everything time, and checks that nothing was lost and that guarantees
   * can be reclaimed from borrowers.
   */
  public void settle() {
    heal();
    awaitQuiet();
    oracle.checkNothingLost(truth);
    vms.forEach(vm -> oracle.checkSameConfig(vm, vms.get(0)));
    checkReclaim();
  }

  private void addWorker(int rack, int number) {
    WorkerId id = new WorkerId("w-" + (rack + 1) + "-" + (number + 1));
    WorkerInfo info =
        new WorkerInfo(
            id, new RackId("rack-" + (rack + 1)), new PlaceId("quimper"), ACCELERATORS, false, "");
    WorkerStandIn worker = new WorkerStandIn(info);
    workers.put(id, worker);
    leaving.put(id, false);
  }

  private FuzzVm newVm(String name) {
    incarnations++;
    double clockRate = 0.98 + 0.02 * (incarnations % 3);
    VmId id = new VmId(name);
    FuzzVm vm =
        new FuzzVm(
            id,
            new Incarnation("i" + incarnations),
            log,
            clock,
            network,
            policy(id),
            options.defect(),
            clockRate);
    return vm;
  }

  private PlacementPolicy policy(VmId vm) {
    PlacementPolicy real = new GuaranteedBestFit(HOLD_RACK_MILLIS);
    return view -> {
      List<Decision> decisions =
          options.defect() == InjectedDefect.IGNORE_LEAVING
              ? real.decide(InjectedDefects.withoutLeaving(view))
              : real.decide(view);
      if (options.defect() == InjectedDefect.NO_RECLAIM) {
        decisions = InjectedDefects.withoutReclaim(decisions);
      }
      decisions.forEach(decision -> checkLeaving(vm, decision));
      return decisions;
    };
  }

  private void checkLeaving(VmId id, Decision decision) {
    if (!(decision instanceof Decision.Place place)) {
      return;
    }
    FuzzVm vm = vms.stream().filter(one -> one.id().equals(id)).findFirst().orElseThrow();
    vm.directory().workers().stream()
        .filter(WorkerInfo::leaving)
        .filter(
            worker -> place.members().stream().anyMatch(one -> one.worker().equals(worker.id())))
        .forEach(
            worker ->
                oracle.report(
                    Invariant.LEAVING_GETS_NOTHING, place.job() + " placed on " + worker.id()));
  }

  private void act() {
    int dice = choices.next(100);
    if (dice < 34) {
      stepVm();
    } else if (dice < 70) {
      deliver();
    } else if (dice < 82) {
      advance(1 + choices.next(60));
    } else if (dice < 84) {
      calm();
    } else if (dice < 88) {
      vms.forEach(vm -> refreshDirectory(vm, choices.next(2) == 0));
    } else if (dice < 92) {
      submit();
    } else if (dice < 93) {
      cancel();
    } else if (dice < 94) {
      configure();
      writeSnapshot(vms.get(choices.next(vms.size())), true);
    } else {
      fault();
    }
  }

  private void stepVm() {
    FuzzVm vm = vms.get(choices.next(vms.size()));
    if (!vm.isPaused()) {
      vm.step();
    }
  }

  private void deliver() {
    for (int i = 0; i < 4 && network.size() > 0; i++) {
      network.deliver(choices.next(network.size()));
    }
    int dice = choices.next(20);
    if (dice > 16) {
      network.swapAnswers(choices);
    } else if (dice == 1) {
      fault(FaultKind.MESSAGE_LOST);
    } else if (dice == 2) {
      fault(FaultKind.MESSAGE_TWICE);
    }
  }

  private void advance(long millis) {
    clock.advance(millis);
    network.expire();
  }

  private void refreshDirectory(FuzzVm vm, boolean now) {
    if (!now) {
      return;
    }
    List<VmInfo> infos =
        vms.stream()
            .map(one -> new VmInfo(one.id(), new PlaceId("quimper"), false, "", null))
            .toList();
    List<WorkerInfo> described =
        workers.values().stream()
            .map(WorkerStandIn::info)
            .map(
                info ->
                    new WorkerInfo(
                        info.id(),
                        info.rack(),
                        info.place(),
                        info.accelerators(),
                        leaving.get(info.id()),
                        ""))
            .toList();
    vm.see(new Directory(infos, described));
  }

  /** Lets everything that is well do its work for a while, with no new fault. */
  private void calm() {
    for (int i = 0; i < CALM_STEPS; i++) {
      vms.stream().filter(vm -> !vm.isPaused()).forEach(FuzzVm::step);
      for (int call = network.size() - 1; call >= 0; call--) {
        network.deliver(call);
      }
      advance(SETTLE_STEP_MILLIS);
    }
  }

  private void submit() {
    if (truth.openJobs() >= MAX_OPEN_JOBS) {
      return;
    }
    int number = jobs++;
    OrganisationId owner = List.of(LARGE, SMALL, GUEST).get(choices.next(3));
    Shape shape = SHAPES.get(choices.next(SHAPES.size()));
    boolean idempotent = owner.equals(GUEST) || choices.next(2) == 0;
    if (!idempotent) {
      shape = owner.equals(LARGE) ? LARGE_SHAPE : SMALL_SHAPE;
    }
    JobKey key = JobKey.of(owner.value(), "job-" + number);
    submit(key, shape, idempotent, choices.next(MAX_RUN_MILLIS));
  }

  private void submit(JobKey key, Shape shape, boolean idempotent, int runMillis) {
    JobSpec spec =
        JobSpec.newBuilder(shape)
            .setIdempotent(idempotent)
            .setJobClass(JOB_CLASSES.get(choices.next(JOB_CLASSES.size())))
            .setPayload("run=" + runMillis + " echo=" + key.name())
            .build();
    caller.ask(key, spec);
    int repeats = 1 + choices.next(2);
    for (int i = 0; i < repeats; i++) {
      FuzzVm vm = vms.get(choices.next(vms.size()));
      var unused =
          vm.propose(new LogRecord.JobSubmitted(key, spec, "request"))
              .whenComplete(
                  (verdict, failure) -> {
                    if (verdict == Verdict.ACCEPTED || verdict == Verdict.SAME_JOB) {
                      caller.toldAccepted(key, spec);
                    }
                  });
    }
  }

  private void cancel() {
    List<JobKey> open =
        truth.jobs().values().stream().filter(job -> !job.isEnded()).map(job -> job.key()).toList();
    if (!open.isEmpty()) {
      JobKey key = open.get(choices.next(open.size()));
      var unused =
          vms.get(choices.next(vms.size())).propose(new LogRecord.CancelRequested(key, "request"));
    }
  }

  private void configure() {
    int first = choices.next(vms.size());
    int second = choices.next(vms.size());
    put(vms.get(first), "first at step " + steps);
    put(vms.get(second), "second at step " + steps);
  }

  private void put(FuzzVm vm, String description) {
    var declared = vm.config().organisations().get(GUEST);
    long expected = declared == null ? 0 : declared.revision();
    Organisation organisation = new Organisation(List.of(), description);
    var unused = vm.proposeConfig(new LogRecord.OrganisationPut(GUEST, organisation, expected));
  }

  private void declare(OrganisationId id, Shape shape, int count) {
    List<GuaranteedShape> shapes =
        shape == null ? List.of() : List.of(new GuaranteedShape(shape, count));
    var unused =
        vms.get(0)
            .proposeConfig(new LogRecord.OrganisationPut(id, new Organisation(shapes, ""), 0));
  }

  private void fault() {
    fault(FAULT_KINDS.get(choices.next(FAULT_KINDS.size())));
  }

  private void fault(FaultKind kind) {
    if (!options.faults().contains(kind) || !put(kind)) {
      return;
    }
    faults.merge(kind, 1L, Long::sum);
  }

  private boolean put(FaultKind kind) {
    FuzzVm vm = vms.get(choices.next(vms.size()));
    WorkerStandIn worker = List.copyOf(workers.values()).get(choices.next(workers.size()));
    boolean on = choices.next(6) == 0;
    switch (kind) {
      case LOG_DOWN -> log.setDown(on);
      case LOG_ANSWER_LOST -> log.loseNextAnswer();
      case LOG_APPEND_LATE -> lateAppend(on);
      case LOG_RETENTION -> log.dropCovered();
      case SNAPSHOT_CUT -> writeSnapshot(vm, false);
      case MESSAGE_LOST, MESSAGE_TWICE -> {
        return onMessage(kind);
      }
      case NETWORK_CUT -> network.setCut(on);
      case VM_PAUSED -> vm.setPaused(on);
      case VM_KILLED -> replace(vm);
      case VM_STOPPED -> stopAsPlanned(vm);
      case WORKER_RESTARTED -> worker.restart();
      case WORKER_FAILING -> worker.setFailingAll(on);
      case WORKER_LEAVING -> leaving.put(worker.info().id(), on);
      default -> throw new IllegalStateException("no such fault: " + kind);
    }
    return true;
  }

  private void lateAppend(boolean on) {
    if (on) {
      log.makeNextLate();
    } else {
      log.takeLate();
    }
  }

  private boolean onMessage(FaultKind kind) {
    if (network.size() == 0) {
      return false;
    }
    int index = choices.next(network.size());
    if (kind == FaultKind.MESSAGE_LOST) {
      network.lose(index);
    } else {
      network.deliverTwice(index);
    }
    return true;
  }

  private void replace(FuzzVm vm) {
    FuzzVm fresh = newVm(vm.id().value());
    vms.set(vms.indexOf(vm), fresh);
    boot(fresh);
    refreshDirectory(fresh, true);
  }

  /** Boots from the newest snapshot, or with the log down from a peer, through the real codec. */
  private void boot(FuzzVm vm) {
    try {
      if (!log.isDown()) {
        vm.boot(log.readSnapshot());
        return;
      }
      FuzzVm peer = vms.get(choices.next(vms.size()));
      vm.boot(SnapshotCodec.decode(SnapshotCodec.encode(peer.snapshot())));
    } catch (IOException e) {
      throw new IllegalStateException("a snapshot of our own does not decode", e);
    }
  }

  private void writeSnapshot(FuzzVm vm, boolean whole) {
    if (!log.isDown()) {
      log.writeSnapshot(vm.snapshot(), whole);
    }
  }

  /** Lets a VM work off what it has proposed, as a planned stop does, then replaces it. */
  private void stopAsPlanned(FuzzVm vm) {
    if (vm.isPaused() || log.isDown()) {
      return;
    }
    vm.leave();
    if (options.defect() == InjectedDefect.STOP_DROPS_RING) {
      vm.dropQueues();
    }
    for (int i = 0; i < 50 && !vm.isDrained(); i++) {
      vm.write();
      vm.read();
    }
    if (!vm.isDrained()) {
      oracle.report(Invariant.PLANNED_STOP_CUTS_NOTHING, vm.id() + " left proposals behind");
    }
    replace(vm);
  }

  private void heal() {
    log.setDown(false);
    network.setCut(false);
    vms.forEach(vm -> vm.setPaused(false));
    workers.values().forEach(worker -> worker.setFailingAll(false));
    leaving.replaceAll((id, value) -> false);
  }

  private void awaitQuiet() {
    long untilMillis = clock.nowMillis() + SETTLE_MILLIS;
    while (clock.nowMillis() < untilMillis && !isQuiet()) {
      settleStep();
    }
  }

  private boolean isQuiet() {
    return truth.allocations().isEmpty()
        && truth.openJobs() == 0
        && caller.accepted().keySet().stream().allMatch(truth.jobs()::containsKey)
        && vms.stream().allMatch(FuzzVm::isDrained);
  }

  private void settleStep() {
    log.takeLate();
    vms.forEach(vm -> refreshDirectory(vm, true));
    vms.forEach(FuzzVm::step);
    for (int i = 0; i < 2; i++) {
      for (int call = network.size() - 1; call >= 0; call--) {
        network.deliver(call);
      }
    }
    advance(SETTLE_STEP_MILLIS);
    steps++;
    check();
  }

  /** Fills the cluster with borrowers, then wants every guaranteed shape at once. */
  private void checkReclaim() {
    for (int i = 0; i < RACKS * WORKERS_PER_RACK * ACCELERATORS; i++) {
      submit(JobKey.of(GUEST.value(), "borrow-" + i), new Shape(1, 1, null), true, 999_999);
    }
    await(() -> truth.holders().size() == RACKS * WORKERS_PER_RACK * ACCELERATORS);
    JobKey large = JobKey.of(LARGE.value(), "reclaim");
    JobKey small = JobKey.of(SMALL.value(), "reclaim");
    submit(large, LARGE_SHAPE, true, 999_999);
    submit(small, SMALL_SHAPE, true, 999_999);
    await(() -> isRunning(large) && isRunning(small));
    if (!isRunning(large) || !isRunning(small)) {
      oracle.report(
          Invariant.GUARANTEE_RECLAIMABLE,
          "guaranteed shapes do not run " + RECLAIM_BOUND_MILLIS + " ms after they were wanted");
    }
  }

  private void await(BooleanSupplier condition) {
    long untilMillis = clock.nowMillis() + RECLAIM_BOUND_MILLIS;
    while (clock.nowMillis() < untilMillis && !condition.getAsBoolean()) {
      settleStep();
    }
  }

  private boolean isRunning(JobKey key) {
    return truth.job(key).filter(job -> job.phase() == JobPhase.RUNNING).isPresent();
  }

  private void check() {
    if (!log.isDown()) {
      for (LogEntry entry : log.read(FuzzLog.JOURNAL, truth.offset() + 1, 1_000)) {
        Folded<JobState> folded = JobFold.fold(truth, entry);
        truth = folded.state();
      }
    }
    oracle.check(steps, truth, clock.nowMillis());
    vms.forEach(oracle::checkConfig);
  }
}
