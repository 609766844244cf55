package org.peridotroute.scheduler.dispatch;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.peridotroute.json.JsonText;
import org.peridotroute.json.JsonValue;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.model.Queue;
import org.peridotroute.scheduler.model.Submission;
import org.peridotroute.scheduler.port.KeyedRecord;

/**
 * The service whose workers run the tasks of a job. It follows the configuration in force, also for
 * jobs that were accepted before. Jobs of a queue that is no longer configured keep the service
 * that the queue had last. Confined to the control thread.
 */
public final class QueueServices {
  /** Key of the record by which planners hand over the services of queues that were removed. */
  public static final String KEY = "!queues";

  private Configuration configuration;
  private Map<String, String> removedQueues = new TreeMap<>();
  private Map<String, String> storedQueues = Map.of();

  /**
   * Sets the configuration in force.
   *
   * @param latest the configuration
   * @param isInUse whether a queue has open jobs; other queues are forgotten once they are removed
   */
  public void configure(Configuration latest, Predicate<String> isInUse) {
    Set<String> queues = new HashSet<>(removedQueues.keySet());
    if (configuration != null) {
      configuration.queues().forEach(queue -> queues.add(queue.name()));
    }
    Map<String, String> removed = new TreeMap<>();
    for (String queue : queues) {
      if (latest.queueNamed(queue).isEmpty() && isInUse.test(queue)) {
        find(queue).ifPresent(service -> removed.put(queue, service));
      }
    }
    configuration = latest;
    removedQueues = removed;
  }

  private Optional<String> find(String queue) {
    Optional<Queue> configured =
        configuration == null ? Optional.empty() : configuration.queueNamed(queue);
    return configured.map(Queue::service).or(() -> Optional.ofNullable(removedQueues.get(queue)));
  }

  /**
   * Returns the service whose workers may start tasks of a job now. That of its acceptance counts
   * only if no configuration known here has contained its queue.
   */
  public String serviceOf(Submission submission) {
    return find(submission.queue()).orElse(submission.service());
  }

  /** Returns the record of the removed queues if it differs from the one on the log. */
  Optional<KeyedRecord> takeUnstored() {
    if (removedQueues.equals(storedQueues)) {
      return Optional.empty();
    }
    storedQueues = Map.copyOf(removedQueues);
    List<JsonText.Fields> queues = new ArrayList<>();
    storedQueues.forEach(
        (queue, service) ->
            queues.add(fields -> fields.text("name", queue).text("service", service)));
    return Optional.of(
        KeyedRecord.of(KEY, JsonText.object(text -> text.objects("queues", queues))));
  }

  /**
   * Adds the removed queues of a record, unless they are known here.
   *
   * @param value value of the record
   * @throws IOException if the value cannot be decoded
   */
  public void addStored(byte[] value) throws IOException {
    Map<String, String> stored = new TreeMap<>();
    for (JsonValue queue : JsonValue.parse(value).get("queues")) {
      stored.put(queue.get("name").text(""), queue.get("service").text(""));
    }
    storedQueues = stored;
    stored.forEach(removedQueues::putIfAbsent);
  }
}
