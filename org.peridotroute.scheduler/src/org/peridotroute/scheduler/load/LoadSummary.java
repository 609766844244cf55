package org.peridotroute.scheduler.load;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.peridotroute.scheduler.port.KeyedRecord;

/**
 * What the planner publishes of the load, for admission by every VM.
 *
 * @param epoch epoch of the planner
 * @param version number of the summary within the epoch
 * @param accelerators accelerators of all usable workers
 * @param queues load by queue; a queue without waiting work may be absent
 * @param urgentAccelerators by organisation, the accelerators that its jobs of the most urgent
 *     priority need that have not ended
 */
public record LoadSummary(
    long epoch,
    long version,
    long accelerators,
    List<QueueLoad> queues,
    Map<String, Long> urgentAccelerators) {
  /** Key of the record that holds the newest summary. */
  public static final String KEY = "!load";

  private static final JsonMapper MAPPER = JsonMapper.builder().build();

  /** Copies the collections. */
  public LoadSummary {
    queues = List.copyOf(queues);
    urgentAccelerators = Map.copyOf(urgentAccelerators);
  }

  /** Returns the load of a queue, empty if no work of it waits. */
  public Optional<QueueLoad> queue(String name) {
    return queues.stream().filter(load -> load.queue().equals(name)).findFirst();
  }

  /** Returns the record to store. */
  public KeyedRecord toRecord() {
    try {
      return KeyedRecord.of(KEY, MAPPER.writeValueAsBytes(this));
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode the load summary", e);
    }
  }

  /**
   * Parses a stored summary.
   *
   * @param value value of the record
   * @return the summary, or empty if the value is malformed
   */
  public static Optional<LoadSummary> read(byte[] value) {
    try {
      return Optional.of(MAPPER.readValue(value, LoadSummary.class));
    } catch (IOException | RuntimeException e) {
      return Optional.empty();
    }
  }
}
