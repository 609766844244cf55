package org.peridotroute.bench.fuzz;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.peridotroute.fold.FoldResult;
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
 * A small simulated cluster under random actions and faults, checked by the oracle after each step.
 * Every choice comes from {@link Choices}, so that equal choices give an identical run. Used by one
 * thread.
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
  private static final int QUIESCENT_STEPS = 12;
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
  private final CallerHistory history = new CallerHistory();
  private final Oracle oracle;
  private final Map<FaultKind, Long> faults = new EnumMap<>(FaultKind.class);
  private JobState referenceState = JobState.EMPTY;
  private long steps;
  private int jobCount;
  private int incarnationCount;

  /**
   * Creates a cluster without jobs and declares its organisations.
   *
   * @param options options of the run
   * @param choices source of all choices
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
    oracle = new Oracle(history, workers.values());
    for (int i = 0; i < options.vms(); i++) {
      vms.add(newVm("vm-" + (i + 1)));
    }
    declare(LARGE, LARGE_SHAPE, 1);
    declare(SMALL, SMALL_SHAPE, 1);
    declare(GUEST, null, 0);
    vms.get(0).write();
  }

  /** Returns the violations that the oracle has found so far. */
  public List<Violation> violations() {
    return oracle.violations();
  }

  /** Returns the number of faults injected so far, by kind. */
  public Map<FaultKind, Long> faults() {
    return faults;
  }

  /** Returns the number of steps taken so far. */
  public long steps() {
    return steps;
  }

  /** Returns the number of jobs that were acknowledged as accepted. */
  public int acceptedJobs() {
    return history.accepted().size();
  }

  /**
   * Takes random steps and checks the invariants after each.
   *
   * @param count number of steps
   */
  public void run(long count) {
    for (long i = 0; i < count; i++) {
      takeRandomAction();
      steps++;
      checkInvariants();
    }
  }

  /**
   * Clears all faults, waits until the cluster is idle or four minutes of virtual time have passed,
   * and checks that nothing was lost and that guarantees can be reclaimed from borrowers.
   */
  public void settle() {
    clearFaults();
    awaitIdle();
    oracle.checkNothingLost(referenceState);
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
    incarnationCount++;
    double clockRate = 0.98 + 0.02 * (incarnationCount % 3);
    VmId id = new VmId(name);
    FuzzVm vm =
        new FuzzVm(
            id,
            new Incarnation("i" + incarnationCount),
            log,
            clock,
            network,
            policy(id),
            options.defect(),
            clockRate);
    return vm;
  }

  private PlacementPolicy policy(VmId vm) {
    PlacementPolicy policy = new GuaranteedBestFit(HOLD_RACK_MILLIS);
    return view -> {
      List<Decision> decisions =
          options.defect() == InjectedDefect.IGNORE_LEAVING
              ? policy.decide(InjectedDefects.withoutLeaving(view))
              : policy.decide(view);
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
    FuzzVm vm = vms.stream().filter(other -> other.id().equals(id)).findFirst().orElseThrow();
    vm.directory().workers().stream()
        .filter(WorkerInfo::leaving)
        .filter(
            worker ->
                place.members().stream().anyMatch(other -> other.worker().equals(worker.id())))
        .forEach(
            worker ->
                oracle.report(
                    Invariant.LEAVING_GETS_NOTHING, place.job() + " placed on " + worker.id()));
  }

  private void takeRandomAction() {
    int draw = choices.next(100);
    if (draw < 34) {
      stepVm();
    } else if (draw < 70) {
      deliver();
    } else if (draw < 82) {
      advance(1 + choices.next(60));
    } else if (draw < 84) {
      runWithoutNewFaults();
    } else if (draw < 88) {
      vms.forEach(vm -> refreshDirectory(vm, choices.next(2) == 0));
    } else if (draw < 92) {
      submit();
    } else if (draw < 93) {
      cancel();
    } else if (draw < 94) {
      changeConfigConcurrently();
      writeSnapshot(vms.get(choices.next(vms.size())), true);
    } else {
      injectRandomFault();
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
    int draw = choices.next(20);
    if (draw > 16) {
      network.swapAnswers(choices);
    } else if (draw == 1) {
      injectFault(FaultKind.MESSAGE_LOST);
    } else if (draw == 2) {
      injectFault(FaultKind.MESSAGE_TWICE);
    }
  }

  private void advance(long millis) {
    clock.advance(millis);
    network.expire();
  }

  private void refreshDirectory(FuzzVm vm, boolean refresh) {
    if (!refresh) {
      return;
    }
    List<VmInfo> infos =
        vms.stream()
            .map(other -> new VmInfo(other.id(), new PlaceId("quimper"), false, "", null))
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
    vm.updateDirectory(new Directory(infos, described));
  }

  /** Steps all VMs that are not paused for a while, without new faults. */
  private void runWithoutNewFaults() {
    for (int i = 0; i < QUIESCENT_STEPS; i++) {
      vms.stream().filter(vm -> !vm.isPaused()).forEach(FuzzVm::step);
      for (int call = network.size() - 1; call >= 0; call--) {
        network.deliver(call);
      }
      advance(SETTLE_STEP_MILLIS);
    }
  }

  private void submit() {
    if (referenceState.openJobs() >= MAX_OPEN_JOBS) {
      return;
    }
    int number = jobCount++;
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
    history.recordSubmitted(key, spec);
    int repeats = 1 + choices.next(2);
    for (int i = 0; i < repeats; i++) {
      FuzzVm vm = vms.get(choices.next(vms.size()));
      var unused =
          vm.propose(new LogRecord.JobSubmitted(key, spec, "request"))
              .whenComplete(
                  (verdict, failure) -> {
                    if (verdict == Verdict.ACCEPTED || verdict == Verdict.SAME_JOB) {
                      history.recordAccepted(key, spec);
                    }
                  });
    }
  }

  private void cancel() {
    List<JobKey> open =
        referenceState.jobs().values().stream()
            .filter(job -> !job.isEnded())
            .map(job -> job.key())
            .toList();
    if (!open.isEmpty()) {
      JobKey key = open.get(choices.next(open.size()));
      var unused =
          vms.get(choices.next(vms.size())).propose(new LogRecord.CancelRequested(key, "request"));
    }
  }

  private void changeConfigConcurrently() {
    int first = choices.next(vms.size());
    int second = choices.next(vms.size());
    putGuest(vms.get(first), "first at step " + steps);
    putGuest(vms.get(second), "second at step " + steps);
  }

  private void putGuest(FuzzVm vm, String description) {
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

  private void injectRandomFault() {
    injectFault(FAULT_KINDS.get(choices.next(FAULT_KINDS.size())));
  }

  private void injectFault(FaultKind kind) {
    if (!options.faults().contains(kind) || !tryInject(kind)) {
      return;
    }
    faults.merge(kind, 1L, Long::sum);
  }

  /** Injects or clears a fault. Returns whether there was something to affect. */
  private boolean tryInject(FaultKind kind) {
    FuzzVm vm = vms.get(choices.next(vms.size()));
    WorkerStandIn worker = List.copyOf(workers.values()).get(choices.next(workers.size()));
    boolean on = choices.next(6) == 0;
    switch (kind) {
      case LOG_DOWN -> log.setDown(on);
      case LOG_ANSWER_LOST -> log.loseNextAnswer();
      case LOG_APPEND_LATE -> injectLateAppend(on);
      case LOG_RETENTION -> log.dropSnapshottedRecords();
      case SNAPSHOT_CUT -> writeSnapshot(vm, false);
      case MESSAGE_LOST, MESSAGE_TWICE -> {
        return injectMessageFault(kind);
      }
      case NETWORK_CUT -> network.setCut(on);
      case VM_PAUSED -> vm.setPaused(on);
      case VM_KILLED -> replace(vm);
      case VM_STOPPED -> stopAsPlanned(vm);
      case WORKER_RESTARTED -> worker.restart();
      case WORKER_FAILING -> worker.setFailingAll(on);
      case WORKER_LEAVING -> leaving.put(worker.info().id(), on);
      default -> throw new IllegalStateException("unknown kind of fault: " + kind);
    }
    return true;
  }

  private void injectLateAppend(boolean on) {
    if (on) {
      log.delayNextAppend();
    } else {
      log.applyLateAppend();
    }
  }

  private boolean injectMessageFault(FaultKind kind) {
    if (network.size() == 0) {
      return false;
    }
    int index = choices.next(network.size());
    if (kind == FaultKind.MESSAGE_LOST) {
      network.drop(index);
    } else {
      network.deliverTwice(index);
    }
    return true;
  }

  private void replace(FuzzVm vm) {
    FuzzVm replacement = newVm(vm.id().value());
    vms.set(vms.indexOf(vm), replacement);
    restore(replacement);
    refreshDirectory(replacement, true);
  }

  /**
   * Restores a VM from the newest snapshot or, while the log is down, from the encoded state of a
   * peer.
   */
  private void restore(FuzzVm vm) {
    try {
      if (!log.isDown()) {
        vm.restore(log.readSnapshot());
        return;
      }
      FuzzVm peer = vms.get(choices.next(vms.size()));
      vm.restore(SnapshotCodec.decode(SnapshotCodec.encode(peer.snapshot())));
    } catch (IOException e) {
      throw new IllegalStateException("the snapshot of a peer does not decode", e);
    }
  }

  private void writeSnapshot(FuzzVm vm, boolean whole) {
    if (!log.isDown()) {
      log.writeSnapshot(vm.snapshot(), whole);
    }
  }

  /** Drains the proposals of a VM, as a planned stop does, and then replaces it. */
  private void stopAsPlanned(FuzzVm vm) {
    if (vm.isPaused() || log.isDown()) {
      return;
    }
    vm.beginPlannedStop();
    if (options.defect() == InjectedDefect.STOP_DROPS_RING) {
      vm.dropQueues();
    }
    for (int i = 0; i < 50 && !vm.isDrained(); i++) {
      vm.write();
      vm.read();
    }
    if (!vm.isDrained()) {
      oracle.report(
          Invariant.PLANNED_STOP_CUTS_NOTHING, vm.id() + " stopped with undrained proposals");
    }
    replace(vm);
  }

  private void clearFaults() {
    log.setDown(false);
    network.setCut(false);
    vms.forEach(vm -> vm.setPaused(false));
    workers.values().forEach(worker -> worker.setFailingAll(false));
    leaving.replaceAll((id, value) -> false);
  }

  private void awaitIdle() {
    long untilMillis = clock.nowMillis() + SETTLE_MILLIS;
    while (clock.nowMillis() < untilMillis && !isIdle()) {
      settleStep();
    }
  }

  private boolean isIdle() {
    return referenceState.allocations().isEmpty()
        && referenceState.openJobs() == 0
        && history.accepted().keySet().stream().allMatch(referenceState.jobs()::containsKey)
        && vms.stream().allMatch(FuzzVm::isDrained);
  }

  private void settleStep() {
    log.applyLateAppend();
    vms.forEach(vm -> refreshDirectory(vm, true));
    vms.forEach(FuzzVm::step);
    for (int i = 0; i < 2; i++) {
      for (int call = network.size() - 1; call >= 0; call--) {
        network.deliver(call);
      }
    }
    advance(SETTLE_STEP_MILLIS);
    steps++;
    checkInvariants();
  }

  /** Fills the cluster with borrowers, then submits a job for every guaranteed shape at once. */
  private void checkReclaim() {
    for (int i = 0; i < RACKS * WORKERS_PER_RACK * ACCELERATORS; i++) {
      submit(JobKey.of(GUEST.value(), "borrow-" + i), new Shape(1, 1, null), true, 999_999);
    }
    await(() -> referenceState.holders().size() == RACKS * WORKERS_PER_RACK * ACCELERATORS);
    JobKey large = JobKey.of(LARGE.value(), "reclaim");
    JobKey small = JobKey.of(SMALL.value(), "reclaim");
    submit(large, LARGE_SHAPE, true, 999_999);
    submit(small, SMALL_SHAPE, true, 999_999);
    await(() -> isRunning(large) && isRunning(small));
    if (!isRunning(large) || !isRunning(small)) {
      oracle.report(
          Invariant.GUARANTEE_RECLAIMABLE,
          "guaranteed shapes do not run "
              + RECLAIM_BOUND_MILLIS
              + " ms after their jobs were submitted");
    }
  }

  private void await(BooleanSupplier condition) {
    long untilMillis = clock.nowMillis() + RECLAIM_BOUND_MILLIS;
    while (clock.nowMillis() < untilMillis && !condition.getAsBoolean()) {
      settleStep();
    }
  }

  private boolean isRunning(JobKey key) {
    return referenceState.job(key).filter(job -> job.phase() == JobPhase.RUNNING).isPresent();
  }

  private void checkInvariants() {
    if (!log.isDown()) {
      for (LogEntry entry : log.read(FuzzLog.JOURNAL, referenceState.offset() + 1, 1_000)) {
        FoldResult<JobState> folded = JobFold.fold(referenceState, entry);
        referenceState = folded.state();
      }
    }
    oracle.check(steps, referenceState, clock.nowMillis());
    vms.forEach(oracle::checkConfig);
  }
}
