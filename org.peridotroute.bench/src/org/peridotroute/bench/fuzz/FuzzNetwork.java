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
 * Network between VMs and workers. Delivers commands and answers in any order, late, twice or not
 * at all. Used by one thread.
 */
final class FuzzNetwork {
  /** Timeout of a call for the VM that sent it. */
  static final long CALL_TIMEOUT_MILLIS = 500;

  /** Age at which a command is no longer delivered, since its connection has been closed. */
  static final long MAX_DELAY_MILLIS = 900;

  private final FuzzClock clock;
  private final Map<WorkerId, WorkerStandIn> workers;
  private final InjectedDefect defect;
  private final List<Call> calls = new ArrayList<>();
  private boolean cut;

  /** A call in flight. Its report is null until the command has reached the worker. */
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

  /** Delivers the command of a call to its worker or, if that is done, the answer to the VM. */
  void deliver(int index) {
    Call call = calls.get(index);
    if (call.report == null && (cut || ageMillis(call) > MAX_DELAY_MILLIS)) {
      return;
    }
    if (call.report == null) {
      call.report = handle(call.worker, call.command);
    } else if (!call.from.isPaused()) {
      calls.remove(index);
      complete(call, call.report);
    }
  }

  /** Delivers a command and keeps the call in flight, so that the command is delivered again. */
  void deliverTwice(int index) {
    Call call = calls.get(index);
    if (!cut) {
      var unused = handle(call.worker, call.command);
    }
  }

  /** Drops a call, so that its command or its answer is lost. */
  void drop(int index) {
    Call call = calls.get(index);
    if (!call.from.isPaused()) {
      calls.remove(index);
      fail(call);
    }
  }

  /** Swaps the answers of two random calls, as a desynchronized connection does. */
  void swapAnswers(Choices choices) {
    List<Call> answered = calls.stream().filter(call -> call.report != null).toList();
    if (answered.size() < 2) {
      return;
    }
    Call first = answered.get(choices.next(answered.size()));
    Call second = answered.get(choices.next(answered.size()));
    TaskReport report = first.report;
    first.report = relabelIfDefective(second.report, first.command);
    second.report = relabelIfDefective(report, second.command);
  }

  /** Sets whether the network is cut. While it is, no command reaches any worker. */
  void setCut(boolean value) {
    cut = value;
  }

  /** Fails calls that have timed out and removes those that can no longer be delivered. */
  void expire() {
    calls.stream()
        .filter(call -> ageMillis(call) > CALL_TIMEOUT_MILLIS && !call.from.isPaused())
        .forEach(FuzzNetwork::fail);
    calls.removeIf(call -> call.reply.isDone() && isUndeliverable(call));
  }

  private boolean isUndeliverable(Call call) {
    return call.report != null || ageMillis(call) > MAX_DELAY_MILLIS;
  }

  private long ageMillis(Call call) {
    return clock.nowMillis() - call.sentMillis;
  }

  private TaskReport handle(WorkerId worker, TaskCommand command) {
    WorkerStandIn target = workers.get(worker);
    TaskReport report = target.handle(command, clock.nowMillis());
    if (defect == InjectedDefect.START_BEFORE_LOG && report.state() == TaskState.PREPARED) {
      var unused = startPrepared(target, command, report.lease());
    }
    boolean notHeld = report.state() == TaskState.NOT_HELD;
    if (defect == InjectedDefect.IGNORE_LOST_MEMBERS && notHeld) {
      return TaskReport.of(TaskState.RUNNING, command);
    }
    if (defect == InjectedDefect.RESTART_LOST_TASKS && notHeld) {
      TaskReport prepared =
          target.handle(
              InjectedDefects.withAction(TaskAction.PREPARE, command, null), clock.nowMillis());
      return startPrepared(target, command, prepared.lease());
    }
    return report;
  }

  private TaskReport startPrepared(WorkerStandIn target, TaskCommand command, String lease) {
    return target.handle(
        InjectedDefects.withAction(TaskAction.START, command, lease), clock.nowMillis());
  }

  private TaskReport relabelIfDefective(TaskReport report, TaskCommand command) {
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

  private static void fail(Call call) {
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
