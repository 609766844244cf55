package org.peridotroute.bench.soak;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.peridotroute.adapter.standin.StoreStandIn;
import org.peridotroute.scheduler.port.Topic;

/**
 * The configurations of a soak: three queues of different priority, which move between two
 * services, are removed and come back, and a list of services that is complete or empty. Each
 * change is published at once. Thread-safe.
 */
final class SoakConfiguration {
  /** The services, to which the workers belong by turns. */
  static final List<String> SERVICES = List.of("soak-a", "soak-b");

  /** The service that serves all queues in the end. */
  private static final String LAST_SERVICE = SERVICES.get(0);

  /** Number of queues; the number of a queue is its priority. */
  static final int QUEUES = 3;

  private static final String ROUTE =
      "{\"name\":\"%1$s\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/%1$s/\",\"service\":\"%2$s\","
          + "\"priority\":%3$d,\"max_attempts\":3,\"stretch\":2,\"slo_ms\":1000,\"public\":true}";

  private final StoreStandIn store;
  private final SoakWorkers workers;
  private final Map<Integer, String> serviceByQueue = new TreeMap<>();
  private final Map<Integer, String> serviceByRemovedQueue = new TreeMap<>();
  private boolean listsServices = true;
  private boolean isSettled;
  private int version;

  SoakConfiguration(StoreStandIn store, SoakWorkers workers) {
    this.store = store;
    this.workers = workers;
    for (int queue = 0; queue < QUEUES; queue++) {
      serviceByQueue.put(queue, SERVICES.get(queue % SERVICES.size()));
    }
  }

  /** Returns the name of a queue, which is also that of its path. */
  static String queueName(int queue) {
    return "q" + queue;
  }

  /** Publishes the configuration. */
  synchronized void publish() {
    serviceByQueue.forEach((queue, service) -> workers.onQueue(queueName(queue), service));
    String routes =
        serviceByQueue.entrySet().stream()
            .map(
                entry ->
                    ROUTE.formatted(queueName(entry.getKey()), entry.getValue(), entry.getKey()))
            .collect(Collectors.joining(","));
    String services =
        listedServices().stream()
            .map("{\"name\":\"%s\"}"::formatted)
            .collect(Collectors.joining(","));
    store.put(
        Topic.CONFIGURATION,
        "config",
        String.format(
            Locale.ROOT,
            "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"tenants\":[]}",
            ++version,
            routes,
            services));
  }

  private List<String> listedServices() {
    if (isSettled) {
      return List.of(LAST_SERVICE);
    }
    return listsServices ? SERVICES : List.of();
  }

  /**
   * Sends all queues to one service and no longer names the other one, which leaves open jobs that
   * were accepted for it. To be called once no more queues are moved.
   */
  synchronized void settle() {
    isSettled = true;
    serviceByQueue.replaceAll((queue, service) -> LAST_SERVICE);
    serviceByRemovedQueue.replaceAll((queue, service) -> LAST_SERVICE);
    publish();
  }

  /** Sends a queue to the other service. */
  synchronized void moveQueue(int queue) {
    serviceByQueue.computeIfPresent(
        queue, (key, service) -> SERVICES.get((SERVICES.indexOf(service) + 1) % SERVICES.size()));
    publish();
  }

  /** Removes a queue. */
  synchronized void removeQueue(int queue) {
    serviceByRemovedQueue.put(queue, serviceByQueue.remove(queue));
    publish();
  }

  /** Brings back a queue that was removed. */
  synchronized void restoreQueue(int queue) {
    serviceByQueue.put(queue, serviceByRemovedQueue.remove(queue));
    publish();
  }

  /** Lists all services, or only names those of the queues. */
  synchronized void setListsServices(boolean value) {
    listsServices = value;
    publish();
  }
}
