package org.peridotroute.scheduler.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.peridotroute.scheduler.model.Configuration;
import org.peridotroute.scheduler.place.Closures;
import org.peridotroute.scheduler.port.Events;
import org.peridotroute.scheduler.port.KeyedRecord;

/**
 * The configuration and the closed data centres, as read from the records of operators. Confined to
 * the control thread, except for {@link #configuration}.
 */
final class OperatorRecords implements TopicFollower.Listener {
  private static final String CONFIGURATION_KEY = "config";

  private final SchedulerVm.Decoder decoder;
  private final Events events;
  private final Consumer<Configuration> onConfiguration;
  private final Map<String, String> dataCentresByClosingKey = new HashMap<>();
  private volatile Configuration configuration;
  private Closures closures = Closures.UNKNOWN;

  /**
   * Creates the records.
   *
   * @param decoder decodes the records
   * @param events receives log events
   * @param onConfiguration called with each configuration that comes into force
   */
  OperatorRecords(
      SchedulerVm.Decoder decoder, Events events, Consumer<Configuration> onConfiguration) {
    this.decoder = decoder;
    this.events = events;
    this.onConfiguration = onConfiguration;
  }

  /** Returns the configuration in force, null before the first. Any thread. */
  Configuration configuration() {
    return configuration;
  }

  /**
   * Returns the closed data centres.
   *
   * @param asOfMillis steady time up to which the records have been read
   */
  Closures closures(long asOfMillis) {
    return closures.asOf(asOfMillis);
  }

  @Override
  public void onRecord(KeyedRecord record) {
    if (record.key().equals(CONFIGURATION_KEY)) {
      onConfigurationRecord(record);
      return;
    }
    Optional<String> dataCentre = decoder.closedDataCentre(record.key());
    if (dataCentre.isEmpty()) {
      return;
    }
    if (record.value() == null) {
      dataCentresByClosingKey.remove(record.key());
    } else {
      dataCentresByClosingKey.put(record.key(), dataCentre.get());
    }
    setClosed(dataCentre.get(), record.value() != null);
  }

  /** Reopens the data centres whose records were removed while the history was not readable. */
  @Override
  public void onLoaded(Set<String> keys) {
    Map<String, String> removed = new HashMap<>(dataCentresByClosingKey);
    removed.keySet().removeAll(keys);
    dataCentresByClosingKey.keySet().removeAll(removed.keySet());
    removed.values().forEach(dataCentre -> setClosed(dataCentre, false));
  }

  private void setClosed(String dataCentre, boolean closed) {
    if (closures.isClosed(dataCentre) == closed) {
      return;
    }
    closures = closures.with(dataCentre, closed);
    events.info(
        closed ? "data-centre-closed" : "data-centre-opened",
        "dataCentre",
        dataCentre,
        "closed",
        closures.dataCentres());
  }

  private void onConfigurationRecord(KeyedRecord record) {
    if (record.value() == null) {
      return;
    }
    Optional<Configuration> decoded = decoder.decodeConfiguration(record.value());
    if (decoded.isEmpty()) {
      events.warn("configuration-unreadable", "offset", record.offset());
      return;
    }
    Configuration latest = decoded.get();
    Configuration current = configuration;
    if (current != null && latest.version() <= current.version()) {
      return;
    }
    configuration = latest;
    events.info(
        "configuration-applied",
        "version",
        latest.version(),
        "offset",
        record.offset(),
        "queues",
        latest.queueCount());
    onConfiguration.accept(latest);
  }
}
