package org.peridotroute.server.settings;

import java.util.Locale;
import java.util.regex.Pattern;

/** Every setting, with its path in the file, allowed values, unit, default and description. */
public enum Setting {
  /** Id of this VM. */
  VM_ID("vm.id", Kind.NAME, null, "name of this VM in the platform's directory"),
  /** Place (data centre) of this VM. */
  VM_PLACE("vm.place", Kind.NAME, null, "place (data centre) of this VM"),
  /** Listen address of the resource API. */
  API_HOST("api.host", Kind.HOST, "127.0.0.1", "address the resource API listens on"),
  /** Listen port of the resource API. */
  API_PORT("api.port", 0, 65_535, 7_400, "port the resource API listens on; 0 for any free port"),
  /** Number of request threads of the resource API. */
  API_THREADS("api.threads", 4, 256, 32, "threads that handle requests, including watches"),
  /** Size limit of a request body. */
  API_MAX_BODY("api.maxBodyBytes", 1_024, 4_194_304, 131_072, "largest request body"),
  /** Timeout for a change to be committed to the log. */
  API_COMMIT_TIMEOUT(
      "api.commitTimeoutMillis",
      100,
      60_000,
      5_000,
      "longest time that a change waits for the log"),
  /** Drain timeout of a planned stop. */
  API_DRAIN(
      "api.drainMillis", 0, 600_000, 20_000, "longest time that a planned stop waits for requests"),
  /** Delay between announcing a planned stop and refusing requests. */
  API_LEAVE(
      "api.leaveMillis",
      0,
      600_000,
      3_000,
      "time for the load balancer to see that the VM is leaving"),
  /** Listen address of the peer port. */
  PEER_HOST("peer.host", Kind.HOST, "127.0.0.1", "address the peer port listens on"),
  /** Listen port for connections of other VMs. */
  PEER_PORT(
      "peer.port", 0, 65_535, 7_500, "port for connections of other VMs; 0 for any free port"),
  /** Interval between status messages. */
  PEER_STATUS(
      "peer.statusMillis", 50, 60_000, 1_000, "interval between status messages to each VM"),
  /** Time without a status after which a VM is suspected. */
  PEER_SUSPECT(
      "peer.suspectMillis",
      100,
      600_000,
      3_500,
      "time without a status after which a VM is suspected"),
  /** Number of records after which a snapshot is due. */
  SNAPSHOT_RECORDS(
      "snapshot.everyRecords",
      10,
      10_000_000,
      20_000,
      "number of records after which a snapshot is due"),
  /** Time after which a snapshot is due. */
  SNAPSHOT_MILLIS(
      "snapshot.everyMillis", 1_000, 86_400_000, 600_000, "time after which a snapshot is due"),
  /** URL of the platform. */
  PLATFORM_URL("platform.url", Kind.URL, null, "URL of the platform's log and directory"),
  /** Timeout of a call to the platform. */
  PLATFORM_TIMEOUT(
      "platform.timeoutMillis", 50, 60_000, 2_000, "timeout of a call to the platform"),
  /** Interval between reads of the directory. */
  PLATFORM_LIST(
      "platform.listMillis",
      50,
      60_000,
      1_000,
      "interval between reads of the platform's directory"),
  /** Rate limit of appends. */
  LOG_APPENDS(
      "log.appendsPerSecond",
      1,
      500,
      40,
      "most appends per second by this VM; records are batched"),
  /** Capacity of the log writer's ring. */
  LOG_SLOTS(
      "log.ringSlots", 64, 65_536, 4_096, "most proposals that may be queued; a power of two"),
  /** Batch size limit of an append. */
  LOG_BATCH("log.batchMaxRecords", 1, 1_000, 200, "most records in one append"),
  /** Duration of failing appends after which new jobs are refused. */
  LOG_STALL(
      "log.stallMillis",
      100,
      600_000,
      3_000,
      "duration of failing appends after which new jobs are refused"),
  /** Renewal interval of the planner's claim. */
  PLANNER_RENEW(
      "planner.renewMillis", 50, 60_000, 1_000, "interval between renewals of the planner's claim"),
  /** Time without a renewal after which the planner role is claimed. */
  PLANNER_TIMEOUT(
      "planner.timeoutMillis",
      100,
      600_000,
      4_000,
      "time without a renewal after which the planner role is claimed"),
  /** Waiting time after which a rack is reserved for a gang. */
  PLANNER_HOLD_RACK(
      "planner.holdRackAfterMillis",
      0,
      86_400_000,
      60_000,
      "waiting time after which a rack is reserved for a gang"),
  /** Lease duration of a member. */
  GANG_LEASE("gang.leaseMillis", 200, 600_000, 24_000, "lease duration of each member of a gang"),
  /** Renewal interval of a lease. */
  GANG_RENEW("gang.renewMillis", 50, 300_000, 8_000, "interval between renewals of a lease"),
  /** Safety margin of a lease for clock drift. */
  GANG_DRIFT(
      "gang.driftMarginMillis",
      0,
      60_000,
      1_000,
      "added to a lease before its accelerators are free"),
  /** Timeout of the prepare phase. */
  GANG_PREPARE(
      "gang.prepareTimeoutMillis", 100, 600_000, 10_000, "longest time to prepare all members"),
  /** Retry delay of a command. */
  GANG_RETRY("gang.retryMillis", 10, 60_000, 500, "delay before a command is sent again"),
  /** Timeout of a call to a worker. */
  GANG_CALL("gang.callTimeoutMillis", 10, 60_000, 1_500, "timeout of a call to a worker");

  /** Type of a setting's value, with the pattern that a text has to match. */
  enum Kind {
    NUMBER("a whole number", ".*"),
    NAME("1 to 63 of a-z, 0-9 and '-'", "[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?"),
    HOST("an IP address", "[0-9a-fA-F.:]{2,45}"),
    URL("a URL such as http://127.0.0.1:7300", "http://[^/\\s]+");

    private final String allowed;
    private final Pattern pattern;

    Kind(String allowed, String pattern) {
      this.allowed = allowed;
      this.pattern = Pattern.compile(pattern);
    }

    boolean matches(String text) {
      return pattern.matcher(text).matches();
    }
  }

  private final String path;
  private final Kind kind;
  private final long min;
  private final long max;
  private final String defaultText;
  private final String description;

  Setting(String path, Kind kind, String defaultText, String description) {
    this.path = path;
    this.kind = kind;
    min = 0;
    max = 0;
    this.defaultText = defaultText;
    this.description = description;
  }

  Setting(String path, long min, long max, long defaultNumber, String description) {
    this.path = path;
    kind = Kind.NUMBER;
    this.min = min;
    this.max = max;
    defaultText = Long.toString(defaultNumber);
    this.description = description;
  }

  /** Returns the path in the file, such as "gang.leaseMillis". */
  public String path() {
    return path;
  }

  /** Returns a short description for operators. */
  public String description() {
    return description;
  }

  /** Returns the default as text, null if the setting is required. */
  public String defaultText() {
    return defaultText;
  }

  /** Returns a readable description of the allowed values. */
  public String allowed() {
    return kind == Kind.NUMBER ? min + " to " + max : kind.allowed;
  }

  /** Returns the unit, empty if there is none. */
  public String unit() {
    String lower = path.toLowerCase(Locale.ROOT);
    if (lower.endsWith("millis")) {
      return "ms";
    }
    if (lower.endsWith("bytes")) {
      return "bytes";
    }
    return lower.endsWith("persecond") ? "1/s" : "";
  }

  boolean isNumber() {
    return kind == Kind.NUMBER;
  }

  boolean allows(String text) {
    return kind.matches(text);
  }

  boolean allows(long number) {
    return number >= min && number <= max;
  }
}
