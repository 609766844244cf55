package org.peridotroute.bench.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.peridotroute.control.TaskAction;
import org.peridotroute.control.TaskCommand;
import org.peridotroute.control.TaskReport;
import org.peridotroute.control.TaskState;
import org.peridotroute.errors.WorkerUnreachableException;
import org.peridotroute.lib.WorkerId;
import org.peridotroute.standin.WorkerStandIn;

/**
 * Commands and answers on their way between VMs and workers: delivered in any order, late, twice or
 * not at all. Used by one thread.
 */
final class FuzzNetwork {
  /** After this a call fails for its caller. */
  static final long CALL_TIMEOUT_MILLIS = 500;

  /** After this a message is not delivered any more, since its connection was closed. */
  static final long MAX_DELAY_MILLIS = 900;

  private final FuzzClock clock;
  private final Map<WorkerId, WorkerStandIn> workers;
  private final InjectedDefect defect;
  private final List<Call> calls = new ArrayList<>();
  private boolean cut;

  /** One call on its way. */
  private static final class Call {
    private final FuzzVm from;
    private final WorkerId worker;
    private final TaskCommand command;
    private final CompletableFuture<TaskReport> reply = new CompletableFuture<>();
    private final long sentMillis;
    private TaskReport report;

    Call(FuzzVm from, WorkerId worker, TaskCommand command, long sentMillis) {
      this.from = from;
      this.worker = worker;
      this.command = command;
      this.sentMillis = sentMillis;
    }
  }

  FuzzNetwork(FuzzClock clock, Map<WorkerId, WorkerStandIn> workers, InjectedDefect defect) {
    this.clock = clock;
    this.workers = workers;
    this.defect = defect;
  }

  CompletableFuture<TaskReport> send(FuzzVm from, WorkerId worker, TaskCommand command) {
    Call call = new Call(from, worker, command, clock.nowMillis());
    calls.add(call);
    return call.reply;
  }

  int size() {
    return calls.size();
  }

  /** Moves one call on by a step: to its worker, or its answer back. */
  void deliver(int index) {
    Call call = calls.get(index);
    if (call.report == null && (cut || age(call) > MAX_DELAY_MILLIS)) {
      return;
    }
    if (call.report == null) {
      call.report = handle(call.worker, call.command);
    } else if (!call.from.isPaused()) {
      calls.remove(index);
      complete(call, call.report);
    }
  }

  /** Delivers a command and keeps it on its way, so that it is delivered again. */
  void deliverTwice(int index) {
    Call call = calls.get(index);
    if (!cut) {
      var unused = handle(call.worker, call.command);
    }
  }

  /** Loses a command, or its answer. */
  void lose(int index) {
    Call call = calls.get(index);
    if (!call.from.isPaused()) {
      calls.remove(index);
      lost(call);
    }
  }

  /** Gives two calls the answers of each other, as a mixed-up connection does. */
  void swapAnswers(Choices choices) {
    List<Call> answered = calls.stream().filter(call -> call.report != null).toList();
    if (answered.size() < 2) {
      return;
    }
    Call one = answered.get(choices.next(answered.size()));
    Call other = answered.get(choices.next(answered.size()));
    TaskReport report = one.report;
    one.report = label(other.report, one.command);
    other.report = label(report, other.command);
  }

  /** Lets no command through from now on, or lets them through again. */
  void setCut(boolean value) {
    cut = value;
  }

  /** Fails calls that have waited too long and forgets what can come no more. */
  void expire() {
    calls.stream()
        .filter(call -> age(call) > CALL_TIMEOUT_MILLIS && !call.from.isPaused())
        .forEach(FuzzNetwork::lost);
    calls.removeIf(call -> call.reply.isDone() && isUndeliverable(call));
  }

  private boolean isUndeliverable(Call call) {
    return call.report != null || age(call) > MAX_DELAY_MILLIS;
  }

  private long age(Call call) {
    return clock.nowMillis() - call.sentMillis;
  }

  private TaskReport handle(WorkerId worker, TaskCommand command) {
    WorkerStandIn target = workers.get(worker);
    TaskReport report = target.handle(command, clock.nowMillis());
    if (defect == InjectedDefect.START_BEFORE_LOG && report.state() == TaskState.PREPARED) {
      var unused = startPrepared(target, command, report.lease());
    }
    boolean unknown = report.state() == TaskState.NOT_HELD;
    if (defect == InjectedDefect.IGNORE_LOST_MEMBERS && unknown) {
      return TaskReport.of(TaskState.RUNNING, command);
    }
    if (defect == InjectedDefect.RESTART_LOST_TASKS && unknown) {
      TaskReport prepared =
          target.handle(InjectedDefects.as(TaskAction.PREPARE, command, null), clock.nowMillis());
      return startPrepared(target, command, prepared.lease());
    }
    return report;
  }

  private TaskReport startPrepared(WorkerStandIn target, TaskCommand command, String lease) {
    return target.handle(InjectedDefects.as(TaskAction.START, command, lease), clock.nowMillis());
  }

  private TaskReport label(TaskReport report, TaskCommand command) {
    if (defect != InjectedDefect.UNLABELLED_ANSWERS) {
      return report;
    }
    return new TaskReport(
        report.state(),
        command.token(),
        command.member(),
        report.lease(),
        report.output(),
        report.reason());
  }

  private static void lost(Call call) {
    if (!call.reply.isDone()) {
      call.reply.completeExceptionally(
          new WorkerUnreachableException(call.worker.value(), "no answer in time"));
    }
  }

  private static void complete(Call call, TaskReport report) {
    if (!call.reply.isDone()) {
      call.reply.complete(report);
    }
  }
}
