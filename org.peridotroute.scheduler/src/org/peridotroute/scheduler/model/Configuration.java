package org.peridotroute.scheduler.model;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** A complete configuration of the scheduler. Immutable and thread-safe. */
public final class Configuration {
  private final long version;
  private final Map<String, List<Queue>> queuesByHost;
  private final Map<String, OrganisationAccess> organisationsByKey;
  private final Map<String, OrganisationAccess> organisations;
  private final Map<String, ServiceSpec> services;
  private final Map<String, Queue> queuesByName;
  private final Set<String> servicesOfQueues;

  /**
   * Creates a configuration.
   *
   * @param version its version; a configuration replaces those of lower versions
   * @param queues the queues
   * @param organisations the organisations
   * @param services the services
   */
  public Configuration(
      long version,
      List<Queue> queues,
      List<OrganisationAccess> organisations,
      List<ServiceSpec> services) {
    this.version = version;
    Map<String, List<Queue>> byHost = new HashMap<>();
    servicesOfQueues = queues.stream().map(Queue::service).collect(Collectors.toUnmodifiableSet());
    for (Queue queue : queues) {
      byHost.merge(queue.host(), List.of(queue), Configuration::concat);
    }
    queuesByHost = Map.copyOf(byHost);
    Map<String, Queue> byQueueName = new HashMap<>();
    queues.forEach(queue -> byQueueName.putIfAbsent(queue.name(), queue));
    queuesByName = Map.copyOf(byQueueName);
    Map<String, OrganisationAccess> byKey = new HashMap<>();
    Map<String, OrganisationAccess> byName = new HashMap<>();
    for (OrganisationAccess organisation : organisations) {
      organisation.keys().forEach(key -> byKey.put(key, organisation));
      byName.put(organisation.name(), organisation);
    }
    organisationsByKey = Map.copyOf(byKey);
    this.organisations = Map.copyOf(byName);
    Map<String, ServiceSpec> serviceByName = new HashMap<>();
    services.forEach(service -> serviceByName.put(service.name(), service));
    this.services = Map.copyOf(serviceByName);
  }

  private static List<Queue> concat(List<Queue> first, List<Queue> second) {
    return java.util.stream.Stream.concat(first.stream(), second.stream()).toList();
  }

  /** Returns the version. */
  public long version() {
    return version;
  }

  /**
   * Finds the queue of a request: among the host's queues, the one with the longest path prefix
   * that matches.
   *
   * @param host host that the caller addressed
   * @param path path that the caller addressed
   * @return the queue, or empty if none matches
   */
  public Optional<Queue> queue(String host, String path) {
    Queue best = null;
    for (Queue queue : queuesByHost.getOrDefault(host, List.of())) {
      boolean longer = best == null || queue.pathPrefix().length() > best.pathPrefix().length();
      if (path.startsWith(queue.pathPrefix()) && longer) {
        best = queue;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Finds a queue by its name.
   *
   * @param name the name
   * @return the queue, or empty if there is none
   */
  public Optional<Queue> queueNamed(String name) {
    return Optional.ofNullable(queuesByName.get(name));
  }

  /** Returns the queues, each name once. */
  public Collection<Queue> queues() {
    return queuesByName.values();
  }

  /**
   * Finds an organisation by its name.
   *
   * @param name the name
   * @return the organisation, or empty if there is none
   */
  public Optional<OrganisationAccess> organisationNamed(String name) {
    return Optional.ofNullable(organisations.get(name));
  }

  /**
   * Finds the organisation that an API key belongs to.
   *
   * @param key the key, or null if the caller presented none
   * @return the organisation, or empty if no organisation has the key
   */
  public Optional<OrganisationAccess> organisationByKey(String key) {
    return key == null ? Optional.empty() : Optional.ofNullable(organisationsByKey.get(key));
  }

  /**
   * Returns the number of accelerators guaranteed to an organisation.
   *
   * @param name name of the organisation, may be null
   * @return the number, 0 for null or an unknown organisation
   */
  public long guaranteedAccelerators(String name) {
    OrganisationAccess found = name == null ? null : organisations.get(name);
    return found == null ? 0 : found.guaranteedAccelerators();
  }

  /** Returns the services by name. */
  public Map<String, ServiceSpec> services() {
    return services;
  }

  /**
   * Returns whether the configuration names a service, in its list of services or in a queue.
   *
   * @param name name of the service
   * @return whether workers of this service may get work
   */
  public boolean hasService(String name) {
    return services.containsKey(name) || servicesOfQueues.contains(name);
  }

  /** Returns the number of queues, for the dump. */
  public int queueCount() {
    return queuesByHost.values().stream().mapToInt(List::size).sum();
  }
}
