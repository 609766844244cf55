package org.peridotroute.server.edge;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.peridotroute.scheduler.dispatch.DispatchSettings;
import org.peridotroute.scheduler.node.SchedulerVmSettings;
import org.peridotroute.server.settings.SettingsException;
import org.peridotroute.server.settings.SettingsFault;

/**
 * Settings of an entry VM that runs the scheduler, in JSON with comments. Times in milliseconds.
 *
 * @param vm name of the VM
 * @param dataCentre its data centre
 * @param callers host and port for callers
 * @param readiness host and port for the balancer's probe
 * @param store host and port of the store
 * @param leaseMillis longest lease that workers grant
 * @param stopMillis longest time that a stop takes
 * @param reclaimMillis time within which guaranteed room must be in use again
 * @param farFactor how much longer a task takes away from its data or its gang's rack
 * @param heartbeatMillis time between two heartbeats of a worker
 * @param graceSeconds time between the signal to stop and the end, in seconds
 * @param processorShare part of its processor's time that this VM has
 * @param processorSpeed speed of that processor, 1 for the usual
 */
@JsonIgnoreProperties(ignoreUnknown = true)
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
    double processorSpeed) {
  /** How long a worker may hold a look; a cut worker is noticed that much later. */
  private static final long LOOK_WAIT_MILLIS = 1_500;

  /** Longest wait for the answer to an order; workers answer within a few milliseconds. */
  public static final long ORDER_TIMEOUT_MILLIS = 800;

  /** Longest time between two records of the planner. */
  private static final long RENEW_MILLIS = 400;

  /** Silence of the planner after which its role is claimed; four missed signs of life. */
  private static final long SILENCE_MILLIS = 1_600;

  /** Time without the log's answer after which leases are not extended; outlives an outage. */
  private static final long UNCONFIRMED_MILLIS = 10_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Cores with which a VM plans for a few hundred workers without falling behind; five times what
   * the planner of 246 workers used on a quiet day (docs/CAPACITY.md).
   */
  private static final double PLANNER_CORES = 0.7;

  /** Longest time that a VM with less leaves the planner's role to others. */
  private static final long MAX_CLAIM_DELAY_MILLIS = 500;

  /** Longest wait of a read for records; bounds how long a silent connection goes unnoticed. */
  private static final long FOLLOW_WAIT_MILLIS = 1_500;

  /**
   * Longest wait of a read for signs of life of the planner, two of which it then has missed, and
   * of the log.
   */
  private static final long SIGN_WAIT_MILLIS = 800;

  /**
   * Silence of the log towards this VM after which callers are sent elsewhere: a wait for a sign of
   * life, the gap between two reads, and an answer of the store on its slowest days.
   */
  private static final long CUT_OFF_MILLIS = 1_800;

  /** Shortest time between two reads of a topic by the planner. */
  private static final long FOLLOW_GAP_MILLIS = 20;

  /**
   * Shortest time between two reads of a topic by other VMs, which read anew when a caller asks. A
   * read that is sent after it may show the planner's silence.
   */
  private static final long SHOW_GAP_MILLIS = 1_000;

  /** Longest time that a caller's request waits for the log; under the callers' own deadline. */
  private static final long REQUEST_MILLIS = 2_000;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .build();

  /**
   * Reads a file.
   *
   * @param path the file
   * @return the settings
   * @throws SettingsException with what is wrong
   */
  public static EdgeSettings read(Path path) throws SettingsException {
    try {
      EdgeSettings settings = MAPPER.readValue(Files.readString(path), EdgeSettings.class);
      settings.check(path.toString());
      return settings;
    } catch (IOException e) {
      throw new SettingsException(
          List.of(new SettingsFault(path.toString(), "", e.getMessage(), "JSON with comments")));
    }
  }

  private void check(String file) throws SettingsException {
    require(file, "vm", vm);
    require(file, "callers", callers);
    require(file, "readiness", readiness);
    require(file, "store", store);
    positive(file, "leaseMillis", (double) leaseMillis);
    positive(file, "stopMillis", (double) stopMillis);
    positive(file, "reclaimMillis", (double) reclaimMillis);
    positive(file, "graceSeconds", graceSeconds);
    positive(file, "processorShare", processorShare);
    positive(file, "processorSpeed", processorSpeed);
  }

  private static void require(String file, String field, String value) throws SettingsException {
    if (value == null || value.isBlank()) {
      throw new SettingsException(List.of(new SettingsFault(file, field, "missing", "a text")));
    }
  }

  private static void positive(String file, String field, double value) throws SettingsException {
    if (!(value > 0)) {
      throw new SettingsException(
          List.of(new SettingsFault(file, field, Double.toString(value), "more than 0")));
    }
  }

  /** Returns the time between the signal to stop and the end. */
  public long graceMillis() {
    return Math.round(graceSeconds * MILLIS_PER_SECOND);
  }

  /**
   * Returns what the scheduler needs to know.
   *
   * @param incarnation name of this run of the process
   * @return the settings of the node
   */
  public SchedulerVmSettings node(String incarnation) {
    DispatchSettings dispatch =
        new DispatchSettings(
            leaseMillis,
            LOOK_WAIT_MILLIS,
            ORDER_TIMEOUT_MILLIS,
            RENEW_MILLIS,
            UNCONFIRMED_MILLIS,
            reclaimMillis,
            stopMillis,
            farFactor,
            heartbeatMillis);
    return SchedulerVmSettings.newBuilder()
        .setVm(vm)
        .setIncarnation(incarnation)
        .setDispatch(dispatch)
        .setReadWaitMillis(FOLLOW_WAIT_MILLIS)
        .setHeartbeatWaitMillis(SIGN_WAIT_MILLIS)
        .setPlannerReadIntervalMillis(FOLLOW_GAP_MILLIS)
        .setFollowerReadIntervalMillis(SHOW_GAP_MILLIS)
        .setPlannerTimeoutMillis(SILENCE_MILLIS)
        .setClaimDelayMillis(claimDelayMillis())
        .setLogTimeoutMillis(CUT_OFF_MILLIS)
        .setRequestTimeoutMillis(REQUEST_MILLIS)
        .build();
  }

  private long claimDelayMillis() {
    double cores = processorShare * processorSpeed;
    double missing = Math.max(0, 1 - cores / PLANNER_CORES);
    return Math.round(missing * MAX_CLAIM_DELAY_MILLIS);
  }
}
