package org.peridotroute.server.edge;

import static java.util.stream.Collectors.joining;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.peridotroute.json.JsonValue;
import org.peridotroute.scheduler.dispatch.DispatchSettings;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.PolicySettings;
import org.peridotroute.scheduler.node.SchedulerVmSettings;
import org.peridotroute.server.settings.SettingsException;
import org.peridotroute.server.settings.SettingsFault;

/**
 * Settings of the scheduler process on an entry VM, read from JSON with comments. Unknown fields
 * are ignored.
 *
 * @param vm name of the VM
 * @param dataCentre its data centre
 * @param callers host and port that callers connect to
 * @param readiness host and port of the load balancer's readiness probe
 * @param store host and port of the store
 * @param leaseMillis longest lease that workers grant, in milliseconds
 * @param stopMillis longest time that a stop takes, in milliseconds
 * @param reclaimMillis time within which guaranteed capacity must be in use by its owner again, in
 *     milliseconds
 * @param farFactor factor by which a task runs longer away from its data or its gang's rack
 * @param heartbeatMillis heartbeat interval of a worker, in milliseconds
 * @param graceSeconds time between the termination signal and the end of the process, in seconds
 * @param processorShare fraction of a processor's time that this VM gets
 * @param processorSpeed speed of that processor relative to the usual one
 * @param linkMegabits capacity of this VM's network link, in megabits per second; 100 if absent
 * @param features names of the optional features that are switched on
 * @param contracts names of the platform's contracts in force, which also switch on features
 * @param closureMillis time after which a closed data centre must get no more starts, in
 *     milliseconds; 0 if data centres are never closed
 * @param coldFactor factor by which tasks take longer on a worker that has just started; 1 if
 *     absent
 * @param restoreMillis time that a task takes to resume from its checkpoint, in milliseconds
 * @param regions region of each data centre
 */
public record EdgeSettings(
    String vm,
    String dataCentre,
    String callers,
    String readiness,
    String store,
    long leaseMillis,
    long stopMillis,
    long reclaimMillis,
    double farFactor,
    long heartbeatMillis,
    double graceSeconds,
    double processorShare,
    double processorSpeed,
    double linkMegabits,
    List<String> features,
    List<String> contracts,
    long closureMillis,
    double coldFactor,
    long restoreMillis,
    Map<String, String> regions) {
  /**
   * Time for which a worker may hold a poll. The loss of a worker's connection is detected that
   * much later.
   */
  private static final long POLL_WAIT_MILLIS = 1_500;

  /** Timeout of a start or stop call to a worker; workers reply within a few milliseconds. */
  public static final long CALL_TIMEOUT_MILLIS = 800;

  /** Longest time between two records that the planner appends to renew its claim. */
  private static final long RENEW_MILLIS = 400;

  /** Time without a record of the planner after which another VM claims its role: four renewals. */
  private static final long PLANNER_TIMEOUT_MILLIS = 1_600;

  /** As above with the feature of fast takeovers, on VMs that follow the planner closely. */
  private static final long CLOSE_PLANNER_TIMEOUT_MILLIS = 900;

  /** Longest time between two records of the planner with the feature of fast takeovers. */
  private static final long FAST_RENEW_MILLIS = 250;

  /** Longest time that a read of the progress waits on VMs that follow the planner closely. */
  private static final long CLOSE_WAIT_MILLIS = 250;

  /**
   * Shortest interval between two reads of the progress by VMs that follow the planner closely; the
   * planner may store a record every few milliseconds.
   */
  private static final long CLOSE_READ_INTERVAL_MILLIS = 150;

  /**
   * One in so many of the VMs that are fast enough to plan follows the planner closely. More would
   * load the store and take over no sooner.
   */
  private static final int CLOSE_FOLLOWER_RATIO = 3;

  /**
   * Time without a reply of the log after which leases are no longer extended. Longer than an
   * outage of the log lasts.
   */
  private static final long MAX_UNCONFIRMED_MILLIS = 10_000;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double BYTES_PER_MEGABIT = 125_000;
  private static final double DEFAULT_LINK_MEGABITS = 100;

  /**
   * Cores that a VM needs to plan for a few hundred workers without falling behind. This is five
   * times the usage of a planner with 246 workers under light load (docs/CAPACITY.md).
   */
  private static final double REQUIRED_PLANNER_CORES = 0.7;

  /** Link that a VM needs to plan for a few hundred workers without falling behind. */
  private static final double REQUIRED_PLANNER_MEGABITS = 20;

  /** Longest delay of a claim of the planner role by a VM that has less. */
  private static final long MAX_CLAIM_DELAY_MILLIS = 500;

  /** Longest time that a read waits for records; bounds the time to detect a dead connection. */
  private static final long READ_WAIT_MILLIS = 1_500;

  /**
   * Longest time that a read of the progress waits for a record of the planner; a read that returns
   * none shows that two renewals were missed. Reads of the configuration wait as long, and each
   * reply shows that the log is reachable.
   */
  private static final long HEARTBEAT_WAIT_MILLIS = 800;

  /**
   * Time without a reply of the log after which this VM fails its readiness probe, so that callers
   * go to other VMs. Covers the wait for a heartbeat, the interval between two reads and the
   * slowest reply of the store.
   */
  private static final long LOG_TIMEOUT_MILLIS = 1_800;

  /** Shortest interval between two reads of a topic by the planner. */
  private static final long PLANNER_READ_INTERVAL_MILLIS = 20;

  /**
   * Shortest interval between two reads of a topic by VMs that do not plan; these read on demand
   * when a caller asks. A read sent after this interval may reveal that the planner has stopped
   * renewing.
   */
  private static final long FOLLOWER_READ_INTERVAL_MILLIS = 1_000;

  /** Longest time that a caller's request waits for the log; below the callers' own deadline. */
  private static final long REQUEST_TIMEOUT_MILLIS = 2_000;

  /** Sets the defaults of absent fields. */
  public EdgeSettings {
    linkMegabits = linkMegabits == 0 ? DEFAULT_LINK_MEGABITS : linkMegabits;
    features = features == null ? List.of() : List.copyOf(features);
    contracts = contracts == null ? List.of() : List.copyOf(contracts);
    coldFactor = coldFactor == 0 ? 1 : coldFactor;
    regions = regions == null ? Map.of() : Map.copyOf(regions);
  }

  /**
   * Reads and validates a settings file.
   *
   * @param path the file
   * @return the settings
   * @throws SettingsException if the file cannot be read, is not JSON, or has an invalid value
   */
  public static EdgeSettings read(Path path) throws SettingsException {
    try {
      EdgeSettings settings = of(JsonValue.parseWithComments(Files.readString(path)));
      settings.validate(path.toString());
      return settings;
    } catch (IOException e) {
      throw new SettingsException(
          List.of(new SettingsFault(path.toString(), "", e.getMessage(), "JSON with comments")));
    }
  }

  private static EdgeSettings of(JsonValue file) {
    return new EdgeSettings(
        file.get("vm").text(null),
        file.get("dataCentre").text(null),
        file.get("callers").text(null),
        file.get("readiness").text(null),
        file.get("store").text(null),
        file.get("leaseMillis").number(0),
        file.get("stopMillis").number(0),
        file.get("reclaimMillis").number(0),
        file.get("farFactor").decimal(0),
        file.get("heartbeatMillis").number(0),
        file.get("graceSeconds").decimal(0),
        file.get("processorShare").decimal(0),
        file.get("processorSpeed").decimal(0),
        file.get("linkMegabits").decimal(0),
        texts(file.get("features")),
        texts(file.get("contracts")),
        file.get("closureMillis").number(0),
        file.get("coldFactor").decimal(0),
        file.get("restoreMillis").number(0),
        textsByName(file.get("regions")));
  }

  private static List<String> texts(JsonValue list) {
    List<String> texts = new ArrayList<>();
    list.forEach(item -> texts.add(item.text("")));
    return texts;
  }

  private static Map<String, String> textsByName(JsonValue object) {
    Map<String, String> texts = new HashMap<>();
    object.fields().forEach((name, value) -> texts.put(name, value.text("")));
    return texts;
  }

  private void validate(String file) throws SettingsException {
    requireText(file, "vm", vm);
    requireText(file, "callers", callers);
    requireText(file, "readiness", readiness);
    requireText(file, "store", store);
    requirePositive(file, "leaseMillis", (double) leaseMillis);
    requirePositive(file, "stopMillis", (double) stopMillis);
    requirePositive(file, "reclaimMillis", (double) reclaimMillis);
    requirePositive(file, "graceSeconds", graceSeconds);
    requirePositive(file, "processorShare", processorShare);
    requirePositive(file, "processorSpeed", processorSpeed);
    requirePositive(file, "linkMegabits", linkMegabits);
    requirePositive(file, "coldFactor", coldFactor);
    requireNotNegative(file, "closureMillis", closureMillis);
    requireNotNegative(file, "restoreMillis", restoreMillis);
    requireKnownFeatures(file);
  }

  private void requireKnownFeatures(String file) throws SettingsException {
    for (String name : features) {
      if (Feature.find(name).isEmpty()) {
        String known =
            Arrays.stream(Feature.values()).map(Feature::settingName).collect(joining(", "));
        throw new SettingsException(
            List.of(new SettingsFault(file, "features", name, "one of " + known)));
      }
    }
  }

  private static void requireNotNegative(String file, String field, long value)
      throws SettingsException {
    if (value < 0) {
      throw new SettingsException(
          List.of(new SettingsFault(file, field, Long.toString(value), "0 or more")));
    }
  }

  private static void requireText(String file, String field, String value)
      throws SettingsException {
    if (value == null || value.isBlank()) {
      throw new SettingsException(
          List.of(new SettingsFault(file, field, "missing", "a non-empty string")));
    }
  }

  private static void requirePositive(String file, String field, double value)
      throws SettingsException {
    if (!(value > 0)) {
      throw new SettingsException(
          List.of(new SettingsFault(file, field, Double.toString(value), "more than 0")));
    }
  }

  /** Returns the time between the termination signal and the end of the process. */
  public long graceMillis() {
    return Math.round(graceSeconds * MILLIS_PER_SECOND);
  }

  /**
   * Returns the scheduler's settings: the values of the file and the fixed times of this class.
   *
   * @param incarnation unique name of this run of the process
   * @param policy optional policies
   * @return the scheduler's settings
   */
  public SchedulerVmSettings toSchedulerVmSettings(String incarnation, PolicySettings policy) {
    boolean fastTakeover = policy.has(Feature.FAST_TAKEOVER);
    boolean closeFollower = fastTakeover && isCloseFollower();
    DispatchSettings dispatch =
        new DispatchSettings(
            leaseMillis,
            POLL_WAIT_MILLIS,
            CALL_TIMEOUT_MILLIS,
            fastTakeover ? FAST_RENEW_MILLIS : RENEW_MILLIS,
            MAX_UNCONFIRMED_MILLIS,
            reclaimMillis,
            stopMillis,
            farFactor,
            heartbeatMillis,
            Math.round(linkMegabits * BYTES_PER_MEGABIT),
            policy);
    return SchedulerVmSettings.newBuilder()
        .setVm(vm)
        .setIncarnation(incarnation)
        .setDispatch(dispatch)
        .setReadWaitMillis(READ_WAIT_MILLIS)
        .setHeartbeatWaitMillis(HEARTBEAT_WAIT_MILLIS)
        .setPlannerReadIntervalMillis(PLANNER_READ_INTERVAL_MILLIS)
        .setFollowerReadIntervalMillis(FOLLOWER_READ_INTERVAL_MILLIS)
        .setProgressWaitMillis(closeFollower ? CLOSE_WAIT_MILLIS : HEARTBEAT_WAIT_MILLIS)
        .setProgressReadIntervalMillis(
            closeFollower ? CLOSE_READ_INTERVAL_MILLIS : FOLLOWER_READ_INTERVAL_MILLIS)
        .setPlannerTimeoutMillis(
            closeFollower ? CLOSE_PLANNER_TIMEOUT_MILLIS : PLANNER_TIMEOUT_MILLIS)
        .setClaimDelayMillis(claimDelayMillis())
        .setLogTimeoutMillis(LOG_TIMEOUT_MILLIS)
        .setRequestTimeoutMillis(REQUEST_TIMEOUT_MILLIS)
        .build();
  }

  /**
   * Returns the optional policies.
   *
   * @param contractFeatures features that the contracts in force call for
   * @return the policies
   */
  public PolicySettings toPolicySettings(Set<Feature> contractFeatures) {
    Set<Feature> enabled = new HashSet<>(contractFeatures);
    features.forEach(name -> Feature.find(name).ifPresent(enabled::add));
    return new PolicySettings(enabled, closureMillis, coldFactor, restoreMillis, regions);
  }

  /** Returns whether this VM is one of the few that follow the planner closely. */
  private boolean isCloseFollower() {
    return claimDelayMillis() == 0 && Math.floorMod(vm.hashCode(), CLOSE_FOLLOWER_RATIO) == 0;
  }

  private long claimDelayMillis() {
    double cores = processorShare * processorSpeed;
    double adequacy =
        Math.min(cores / REQUIRED_PLANNER_CORES, linkMegabits / REQUIRED_PLANNER_MEGABITS);
    double shortfall = Math.max(0, 1 - adequacy);
    return Math.round(shortfall * MAX_CLAIM_DELAY_MILLIS);
  }
}
