package org.peridotroute.standin.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.peridotroute.scheduler.model.Capacity;
import org.peridotroute.scheduler.model.TaskId;
import org.peridotroute.scheduler.port.WorkerGateway.EndedTask;
import org.peridotroute.scheduler.port.WorkerGateway.LookOrder;
import org.peridotroute.scheduler.port.WorkerGateway.LookReply;
import org.peridotroute.scheduler.port.WorkerGateway.OrderOutcome;
import org.peridotroute.scheduler.port.WorkerGateway.OrderReply;
import org.peridotroute.scheduler.port.WorkerGateway.RunEnd;
import org.peridotroute.scheduler.port.WorkerGateway.RunningTask;
import org.peridotroute.scheduler.port.WorkerGateway.StartOrder;

/**
 * One life of a worker: what it runs, its lease, the highest token it has seen, and the ends that
 * nobody has acknowledged. Tells an observer what a user of the platform would see. Used by one
 * thread.
 */
public final class WorkerModel {
  /** Sees what happens on workers. */
  public interface Observer {
    /** A task has begun. */
    void began(WorkerModel worker, TaskId task, int run, Capacity held);

    /** A run has ended. */
    void ended(WorkerModel worker, TaskId task, int run, RunEnd end);

    /** A worker may forget an end, since the scheduler says that it is stored. */
    void acknowledged(WorkerModel worker, TaskId task, int run, RunEnd end);
  }

  /**
   * How a task behaves.
   *
   * @param held room that it holds
   * @param workMillis how long it works
   * @param fails whether it fails at the end
   * @param members members of its gang, 0 if it is in none
   */
  public record Behaviour(Capacity held, long workMillis, boolean fails, int members) {}

  /** What a model works with. */
  public interface Environment {
    /** Returns how a task behaves. */
    Behaviour behaviour(TaskId task, int run);

    /** Returns how many members of a gang's run are present anywhere. */
    int present(TaskId task, int run);

    /** Says that a member of a gang's run has ended, so that the others end too. */
    void broken(TaskId task, int run, RunEnd end);

    /** Returns the longest lease. */
    long maxLeaseMillis();

    /** Returns the longest time that a stop takes. */
    long stopMillis();
  }

  private static final class Run {
    private final TaskId task;
    private final int run;
    private final Behaviour behaviour;
    private long leftMillis;
    private long stopAtMillis = Long.MAX_VALUE;

    Run(TaskId task, int run, Behaviour behaviour) {
      this.task = task;
      this.run = run;
      this.behaviour = behaviour;
      leftMillis = behaviour.workMillis();
    }
  }

  private final String id;
  private final long bornMillis;
  private final VirtualTime time;
  private final Environment environment;
  private final Observer observer;
  private final double clockRate;
  private final Map<TaskId, Run> running = new LinkedHashMap<>();
  private final Map<TaskId, Integer> barred = new HashMap<>();
  private final List<EndedTask> ended = new ArrayList<>();
  private long token;
  private long leaseEndMillis;
  private long ends;
  private long workedToMillis;
  private boolean dead;

  /**
   * Begins a life.
   *
   * @param id the worker's id
   * @param time virtual time
   * @param clockRate speed of its clock; 0.98 for one that is 2% slow
   * @param environment what it works with
   * @param observer sees what happens
   */
  public WorkerModel(
      String id, VirtualTime time, double clockRate, Environment environment, Observer observer) {
    this.id = id;
    this.time = time;
    this.clockRate = clockRate;
    this.environment = environment;
    this.observer = observer;
    bornMillis = time.wallMillis();
    workedToMillis = time.steadyMillis();
  }

  /** Returns the worker's id. */
  public String id() {
    return id;
  }

  /** Returns the start of this life on the wall clock. */
  public long bornMillis() {
    return bornMillis;
  }

  /** Returns the worker's clock, which counts from its birth. */
  public long clockMillis() {
    return (long) ((time.wallMillis() - bornMillis) * clockRate);
  }

  /** Returns the room in use. */
  public Capacity used() {
    Capacity used = Capacity.NONE;
    for (Run run : running.values()) {
      used = used.plus(run.behaviour.held());
    }
    return used;
  }

  /** Returns whether a run is here. */
  public boolean runs(TaskId task, int run) {
    Run found = running.get(task);
    return found != null && found.run == run;
  }

  /** Ends this life; everything here is gone without a word. */
  public void die() {
    dead = true;
    for (Run run : List.copyOf(running.values())) {
      observer.ended(this, run.task, run.run, RunEnd.LAPSED);
    }
    running.clear();
  }

  /** Returns whether this life is over. */
  public boolean isDead() {
    return dead;
  }

  /** Lets the work go on up to now. */
  public void work() {
    if (dead) {
      return;
    }
    long now = time.steadyMillis();
    long passed = now - workedToMillis;
    workedToMillis = now;
    for (Run run : List.copyOf(running.values())) {
      if (!running.containsKey(run.task)) {
        continue;
      }
      if (clockMillis() > leaseEndMillis) {
        end(run, RunEnd.LAPSED);
      } else if (now >= run.stopAtMillis) {
        end(run, RunEnd.STOPPED);
      } else if (isWhole(run)) {
        run.leftMillis -= passed;
        if (run.leftMillis <= 0) {
          end(run, run.behaviour.fails() ? RunEnd.FAILED : RunEnd.DONE);
        }
      }
    }
  }

  private boolean isWhole(Run run) {
    int members = run.behaviour.members();
    return members == 0 || environment.present(run.task, run.run) >= members;
  }

  private void end(Run run, RunEnd how) {
    running.remove(run.task);
    barred.merge(run.task, run.run, Math::max);
    ended.add(new EndedTask(++ends, run.task, run.run, how, ""));
    observer.ended(this, run.task, run.run, how);
    if (run.behaviour.members() > 0) {
      environment.broken(run.task, run.run, how);
    }
  }

  /** Ends a member of a gang because another member has ended. */
  public void breakRun(TaskId task, int run, RunEnd how) {
    Run found = running.get(task);
    if (found != null && found.run == run) {
      running.remove(task);
      barred.merge(task, run, Math::max);
      RunEnd end = how == RunEnd.DONE ? RunEnd.DONE : RunEnd.BROKEN;
      ended.add(new EndedTask(++ends, task, run, end, ""));
      observer.ended(this, task, run, end);
    }
  }

  /** Carries a start out, or refuses it. */
  public OrderReply start(StartOrder order) {
    if (order.token() < token) {
      return reply(OrderOutcome.FENCED);
    }
    token = order.token();
    extend(order.leaseEndMillis());
    if (runs(order.task(), order.run())) {
      return reply(OrderOutcome.DONE);
    }
    if (order.run() <= barred.getOrDefault(order.task(), 0) || running.containsKey(order.task())) {
      return reply(OrderOutcome.SUPERSEDED);
    }
    if (order.leaseEndMillis() <= clockMillis()) {
      return reply(OrderOutcome.EXPIRED);
    }
    Behaviour behaviour = environment.behaviour(order.task(), order.run());
    running.put(order.task(), new Run(order.task(), order.run(), behaviour));
    observer.began(this, order.task(), order.run(), behaviour.held());
    return reply(OrderOutcome.DONE);
  }

  /** Carries a stop out. */
  public OrderReply stop(TaskId task, int run, long by) {
    if (by < token) {
      return reply(OrderOutcome.FENCED);
    }
    token = by;
    barred.merge(task, run, Math::max);
    Run found = running.get(task);
    if (found != null && found.run <= run) {
      found.stopAtMillis =
          Math.min(found.stopAtMillis, time.steadyMillis() + environment.stopMillis());
    }
    return reply(OrderOutcome.DONE);
  }

  /** Forgets the ends that a look acknowledges, as it arrives. */
  public void acknowledge(LookOrder order) {
    if (order.token() < token) {
      return;
    }
    for (EndedTask end : List.copyOf(ended)) {
      if (end.number() <= order.acknowledgedEnd()) {
        ended.remove(end);
        observer.acknowledged(this, end.task(), end.run(), end.end());
      }
    }
  }

  /** Shows what is here. */
  public LookReply look(LookOrder order) {
    if (order.token() < token) {
      return new LookReply(OrderOutcome.FENCED, clockMillis(), bornMillis, List.of(), List.of());
    }
    token = order.token();
    if (order.leaseEndMillis() >= 0) {
      extend(order.leaseEndMillis());
    }
    List<RunningTask> rows = new ArrayList<>();
    running
        .values()
        .forEach(run -> rows.add(new RunningTask(run.task, run.run, "", percent(run), 0)));
    return new LookReply(OrderOutcome.DONE, clockMillis(), bornMillis, rows, ended);
  }

  /** Returns whether an end waits to be told. */
  public boolean hasNews(long acknowledged) {
    return ended.stream().anyMatch(end -> end.number() > acknowledged);
  }

  private static int percent(Run run) {
    long whole = Math.max(1, run.behaviour.workMillis());
    return (int) (100 * (whole - run.leftMillis) / whole);
  }

  private void extend(long untilMillis) {
    long most = clockMillis() + environment.maxLeaseMillis();
    leaseEndMillis = Math.max(leaseEndMillis, Math.min(untilMillis, most));
  }

  private OrderReply reply(OrderOutcome outcome) {
    return new OrderReply(outcome, clockMillis());
  }
}
