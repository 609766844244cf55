package org.peridotroute.scheduler.node;

import java.util.ArrayList;
import java.util.List;

/**
 * Reads a topic for those who must know what is stored at the moment they ask. Questions that come
 * during a read share the next one. Belongs to the control thread.
 */
final class CoalescedReads {
  /** Someone who waits for a read. */
  private record PendingRead(Runnable then, Runnable otherwise) {}

  private final TopicFollower topic;
  private List<PendingRead> waiting = new ArrayList<>();
  private boolean reading;

  CoalescedReads(TopicFollower topic) {
    this.topic = topic;
  }

  /**
   * Reads everything that is stored by now.
   *
   * @param then run once it is known
   * @param otherwise run if the log does not tell
   */
  void read(Runnable then, Runnable otherwise) {
    waiting.add(new PendingRead(then, otherwise));
    next();
  }

  private void next() {
    if (reading || waiting.isEmpty()) {
      return;
    }
    List<PendingRead> asked = waiting;
    waiting = new ArrayList<>();
    if (!topic.isLoaded()) {
      asked.forEach(question -> question.otherwise().run());
      return;
    }
    reading = true;
    topic.catchUp(
        () -> {
          reading = false;
          asked.forEach(question -> question.then().run());
          next();
        },
        () -> {
          reading = false;
          asked.forEach(question -> question.otherwise().run());
          next();
        });
  }
}
