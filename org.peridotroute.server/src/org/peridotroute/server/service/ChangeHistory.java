package org.peridotroute.server.service;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Bounded history of the most recent changes of one kind of resource, ordered by revision. Serves
 * watches. Thread-safe.
 *
 * @param <T> the kind of resource
 */
public final class ChangeHistory<T> {
  private final int maxChanges;
  private final Deque<Change<T>> changes = new ArrayDeque<>();
  private long completeSince;
  private long lastRevision;
  private boolean closed;

  /**
   * A change and the resource that results from it.
   *
   * @param revision offset of the record that changed it
   * @param name the resource's name
   * @param resource the resource after the change, or null if it was removed
   * @param <T> the kind of resource
   */
  public record Change<T>(long revision, String name, T resource) {}

  /**
   * The changes after a revision.
   *
   * @param complete false if older changes have been dropped, so that the watcher must list again
   * @param changes the changes, oldest first
   * @param revision the revision from which to continue the watch
   * @param <T> the kind of resource
   */
  public record Page<T>(boolean complete, List<Change<T>> changes, long revision) {}

  /**
   * Creates an empty history.
   *
   * @param maxChanges the maximum number of changes to keep
   */
  public ChangeHistory(int maxChanges) {
    this.maxChanges = maxChanges;
  }

  /**
   * Adds a change.
   *
   * @param revision offset of the record; must be higher than that of all earlier changes
   * @param name the resource's name
   * @param resource the resource after the change, or null if it was removed
   */
  public synchronized void add(long revision, String name, T resource) {
    changes.addLast(new Change<>(revision, name, resource));
    if (changes.size() > maxChanges) {
      completeSince = changes.removeFirst().revision();
    }
    lastRevision = revision;
    notifyAll();
  }

  /**
   * Drops all changes because the state was replaced by a snapshot.
   *
   * @param revision the revision of the snapshot
   */
  public synchronized void reset(long revision) {
    changes.clear();
    completeSince = revision;
    lastRevision = revision;
  }

  /**
   * Returns the changes after a revision. Blocks until there is at least one, the wait time has
   * passed or the history is closed.
   *
   * @param revision the last revision that the watcher has seen
   * @param waitMillis the maximum wait time
   * @return the changes
   */
  public synchronized Page<T> after(long revision, long waitMillis) {
    awaitAfter(revision, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis));
    if (revision < completeSince) {
      return new Page<>(false, List.of(), lastRevision);
    }
    List<Change<T>> newer = new ArrayList<>();
    changes.stream().filter(change -> change.revision() > revision).forEach(newer::add);
    return new Page<>(true, newer, Math.max(revision, lastRevision));
  }

  /** Ends all current waits; later calls do not wait. */
  public synchronized void close() {
    closed = true;
    notifyAll();
  }

  private synchronized void awaitAfter(long revision, long deadlineNanos) {
    try {
      while (!closed && lastRevision <= revision) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        if (remainingMillis <= 0) {
          return;
        }
        wait(remainingMillis);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
