package org.peridotroute.scheduler.node;

import java.util.ArrayList;
import java.util.List;

/**
 * Reads a topic up to its end on request, so that the requester sees everything stored before the
 * request. Requests that arrive during a read share the next one. Confined to the control thread.
 */
final class CoalescedReads {
  /** A request that waits for a read. */
  private record PendingRead(Runnable onCaughtUp, Runnable onUnavailable) {}

  private final TopicFollower topic;
  private List<PendingRead> waiting = new ArrayList<>();
  private boolean reading;

  CoalescedReads(TopicFollower topic) {
    this.topic = topic;
  }

  /**
   * Reads everything that is stored at the time of the call.
   *
   * @param onCaughtUp run once all of it has been read
   * @param onUnavailable run if the topic is not loaded or the read fails
   */
  void read(Runnable onCaughtUp, Runnable onUnavailable) {
    waiting.add(new PendingRead(onCaughtUp, onUnavailable));
    startNext();
  }

  private void startNext() {
    if (reading || waiting.isEmpty()) {
      return;
    }
    List<PendingRead> batch = waiting;
    waiting = new ArrayList<>();
    if (!topic.isLoaded()) {
      batch.forEach(pending -> pending.onUnavailable().run());
      return;
    }
    reading = true;
    topic.catchUp(
        () -> {
          reading = false;
          batch.forEach(pending -> pending.onCaughtUp().run());
          startNext();
        },
        () -> {
          reading = false;
          batch.forEach(pending -> pending.onUnavailable().run());
          startNext();
        });
  }
}
