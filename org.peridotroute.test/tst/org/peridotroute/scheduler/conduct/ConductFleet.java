package org.peridotroute.scheduler.conduct;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.peridotroute.lib.WorkerId;

/** A fleet of workers in racks, whose conduct is reviewed twice a second. */
final class ConductFleet {
  static final int SIZE = 48;
  static final int RACK_SIZE = 8;
  private static final long REVIEW_MILLIS = 500;
  private static final long BEGIN_MILLIS = 100_000;

  private final List<ConductBook.Member> members = new ArrayList<>();
  private final List<ConductChange> changes = new ArrayList<>();
  private ConductBook book = new ConductBook(BEGIN_MILLIS);
  private long nowMillis = BEGIN_MILLIS;
  private int maxQuarantined;

  ConductFleet() {
    for (int i = 0; i < SIZE; i++) {
      members.add(new ConductBook.Member(worker(i), "service", "rack-" + i / RACK_SIZE));
    }
    // No evidence counts in the first seconds of a term.
    pass(3_000);
  }

  static WorkerId worker(int number) {
    return new WorkerId("w-" + number);
  }

  ConductBook book() {
    return book;
  }

  long now() {
    return nowMillis;
  }

  List<ConductChange> changes() {
    return changes;
  }

  int maxQuarantined() {
    return maxQuarantined;
  }

  ConductState state(int number) {
    return book.conduct(worker(number)).state();
  }

  boolean mayWork(int number) {
    return state(number) != ConductState.QUARANTINED;
  }

  /** Returns the numbers of the workers that were ever quarantined. */
  List<Integer> everQuarantined() {
    return changes.stream()
        .filter(change -> change.conduct().state() == ConductState.QUARANTINED)
        .map(change -> Integer.parseInt(change.worker().value().substring("w-".length())))
        .distinct()
        .sorted()
        .toList();
  }

  long count(Predicate<ConductState> filter) {
    return members.stream()
        .filter(member -> filter.test(book.conduct(member.id()).state()))
        .count();
  }

  void pass(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; ) {
      step(List.of());
    }
  }

  /** Lets half a second pass and reviews the conduct. */
  void step(List<ProgressSample> samples) {
    nowMillis += REVIEW_MILLIS;
    changes.addAll(book.review(members, samples, nowMillis));
    maxQuarantined =
        Math.max(maxQuarantined, (int) count(state -> state == ConductState.QUARANTINED));
  }

  /** Replaces the planner. Only what it has stored of each worker outlives it. */
  void changePlanner() {
    ConductBook next = new ConductBook(nowMillis);
    for (ConductBook.Member member : members) {
      WorkerConduct conduct = book.conduct(member.id());
      SavedConduct saved =
          SavedConduct.read(
                  new SavedConduct(conduct.level(), Math.max(0, conduct.untilMillis())).toText())
              .orElseThrow();
      next.inherit(member.id(), saved.level(), saved.untilWallMillis());
    }
    book = next;
  }
}
