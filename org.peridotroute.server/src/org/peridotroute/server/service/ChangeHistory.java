package org.peridotroute.server.service;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The last changes of one kind of resource, by revision, for watches. Bounded. Safe for use by
 * several threads.
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
   * A resource after a change.
   *
   * @param revision offset of the record that changed it
   * @param name the resource's name
   * @param resource the resource, null where it was removed
   * @param <T> the kind of resource
   */
  public record Change<T>(long revision, String name, T resource) {}

  /**
   * Changes after a revision.
   *
   * @param complete whether none is missing; if not, the watcher has to list again
   * @param changes the changes, the oldest first
   * @param revision the revision to watch from next
   * @param <T> the kind of resource
   */
  public record Page<T>(boolean complete, List<Change<T>> changes, long revision) {}

  /**
   * Creates a history.
   *
   * @param maxChanges how many changes are kept
   */
  public ChangeHistory(int maxChanges) {
    this.maxChanges = maxChanges;
  }

  /**
   * Adds a change.
   *
   * @param revision offset of the record, higher than any before
   * @param name the resource's name
   * @param resource the resource, null where it was removed
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
   * Forgets all changes, since state was taken over from elsewhere.
   *
   * @param revision the revision of that state
   */
  public synchronized void reset(long revision) {
    changes.clear();
    completeSince = revision;
    lastRevision = revision;
  }

  /**
   * Returns changes after a revision, waiting for the first where there is none.
   *
   * @param revision the last revision already seen
   * @param waitMillis the longest wait
   * @return the changes
   */
  public synchronized Page<T> after(long revision, long waitMillis) {
    awaitAfter(revision, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis));
    if (revision < completeSince) {
      return new Page<>(false, List.of(), lastRevision);
    }
    List<Change<T>> later = new ArrayList<>();
    changes.stream().filter(change -> change.revision() > revision).forEach(later::add);
    return new Page<>(true, later, Math.max(revision, lastRevision));
  }

  /** Lets every watcher go, now and from now on. */
  public synchronized void close() {
    closed = true;
    notifyAll();
  }

  private synchronized void awaitAfter(long revision, long deadlineNanos) {
    try {
      while (!closed && lastRevision <= revision) {
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        if (leftMillis <= 0) {
          return;
        }
        wait(leftMillis);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
