package org.peridotroute.scheduler.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.peridotroute.scheduler.model.JobId;

/**
 * Looks for jobs that this VM does not know, by a read of the log that is sent after the question,
 * so that a job which another VM has just accepted is not denied. Questions that come during a read
 * share the next one. Belongs to the control thread.
 */
final class JobSearch {
  /** A job asked for. */
  private record Question(JobId id, CompletableFuture<RequestOutcome> answer) {}

  private final TopicFollower requests;
  private final Map<JobId, Entry> entries;
  private List<Question> waiting = new ArrayList<>();
  private boolean reading;

  JobSearch(TopicFollower requests, Map<JobId, Entry> entries) {
    this.requests = requests;
    this.entries = entries;
  }

  /**
   * Looks for a job.
   *
   * @param id the job
   * @param answer completed with DONE once the job is known, NO_SUCH_JOB if there is none, or
   *     NOT_DONE if the log does not tell
   */
  void find(JobId id, CompletableFuture<RequestOutcome> answer) {
    waiting.add(new Question(id, answer));
    read();
  }

  private void read() {
    if (reading || waiting.isEmpty()) {
      return;
    }
    List<Question> asked = waiting;
    waiting = new ArrayList<>();
    if (!requests.isLoaded()) {
      asked.forEach(question -> question.answer().complete(RequestOutcome.NOT_DONE));
      return;
    }
    reading = true;
    requests.catchUp(
        () -> answered(asked, RequestOutcome.NO_SUCH_JOB),
        () -> answered(asked, RequestOutcome.NOT_DONE));
  }

  private void answered(List<Question> asked, RequestOutcome otherwise) {
    reading = false;
    for (Question question : asked) {
      Entry entry = entries.get(question.id());
      boolean known = entry != null && entry.submission() != null;
      question.answer().complete(known ? RequestOutcome.DONE : otherwise);
    }
    read();
  }
}
