package org.peridotroute.server.settings;

import java.util.Locale;
import java.util.regex.Pattern;

/** Every setting, with its place in the file, range, unit and default. */
public enum Setting {
  /** Name of this VM. */
  VM_ID("vm.id", Kind.NAME, null, "name of this VM, as on the platform's list"),
  /** Place of this VM. */
  VM_PLACE("vm.place", Kind.NAME, null, "place (data centre) of this VM"),
  /** Address of the resource API. */
  API_HOST("api.host", Kind.HOST, "127.0.0.1", "address the resource API listens on"),
  /** Port of the resource API. */
  API_PORT("api.port", 0, 65_535, 7_400, "port the resource API listens on; 0 for any free one"),
  /** Threads of the resource API. */
  API_THREADS("api.threads", 4, 256, 32, "threads that handle requests, watches among them"),
  /** Largest body. */
  API_MAX_BODY("api.maxBodyBytes", 1_024, 4_194_304, 131_072, "largest body of a request"),
  /** Longest wait of a request for the log. */
  API_COMMIT_TIMEOUT(
      "api.commitTimeoutMillis", 100, 60_000, 5_000, "longest wait of a change for the log"),
  /** Longest drain. */
  API_DRAIN("api.drainMillis", 0, 600_000, 20_000, "longest wait for requests at a planned stop"),
  /** Time between telling of a planned stop and refusing requests. */
  API_LEAVE(
      "api.leaveMillis", 0, 600_000, 3_000, "time for the balancer to see that the VM leaves"),
  /** Address of the peer port. */
  PEER_HOST("peer.host", Kind.HOST, "127.0.0.1", "address the peer port listens on"),
  /** Port for the other VMs. */
  PEER_PORT("peer.port", 0, 65_535, 7_500, "port for the other VMs; 0 for any free one"),
  /** Time between two statuses. */
  PEER_STATUS("peer.statusMillis", 50, 60_000, 1_000, "time between two statuses to each VM"),
  /** Silence after which a VM is suspected. */
  PEER_SUSPECT("peer.suspectMillis", 100, 600_000, 3_500, "silence after which a VM is suspected"),
  /** Records after which a snapshot is due. */
  SNAPSHOT_RECORDS(
      "snapshot.everyRecords", 10, 10_000_000, 20_000, "records after which a snapshot is due"),
  /** Time after which a snapshot is due. */
  SNAPSHOT_MILLIS(
      "snapshot.everyMillis", 1_000, 86_400_000, 600_000, "time after which a snapshot is due"),
  /** The platform. */
  PLATFORM_URL("platform.url", Kind.URL, null, "URL of the platform's log and list"),
  /** Longest wait for the platform. */
  PLATFORM_TIMEOUT(
      "platform.timeoutMillis", 50, 60_000, 2_000, "longest wait for an answer of the platform"),
  /** Time between two reads of the list. */
  PLATFORM_LIST(
      "platform.listMillis", 50, 60_000, 1_000, "time between two reads of the platform's list"),
  /** Budget of appends. */
  LOG_APPENDS(
      "log.appendsPerSecond", 1, 500, 40, "most appends a second by this VM; records are grouped"),
  /** Slots of the writer's ring. */
  LOG_SLOTS("log.ringSlots", 64, 65_536, 4_096, "proposals that may wait; a power of two"),
  /** Largest group. */
  LOG_BATCH("log.batchMaxRecords", 1, 1_000, 200, "most records in one append"),
  /** Time without an append taken after which new jobs are refused. */
  LOG_STALL(
      "log.stallMillis",
      100,
      600_000,
      3_000,
      "time of failing appends after which jobs are refused"),
  /** Time between two signs of the planner. */
  PLANNER_RENEW("planner.renewMillis", 50, 60_000, 1_000, "time between two signs of the planner"),
  /** Silence after which the planner's role is claimed. */
  PLANNER_TIMEOUT(
      "planner.timeoutMillis", 100, 600_000, 4_000, "silence after which the role is claimed"),
  /** Age at which a rack is held. */
  PLANNER_HOLD_RACK(
      "planner.holdRackAfterMillis",
      0,
      86_400_000,
      60_000,
      "age at which a rack is held for a waiting gang"),
  /** Lease of a member. */
  GANG_LEASE("gang.leaseMillis", 200, 600_000, 24_000, "lease of each member of a gang"),
  /** Time between two renewals. */
  GANG_RENEW("gang.renewMillis", 50, 300_000, 8_000, "time between two renewals of a lease"),
  /** Margin on a lease. */
  GANG_DRIFT(
      "gang.driftMarginMillis", 0, 60_000, 1_000, "added to a lease before its room is free"),
  /** Longest time to prepare. */
  GANG_PREPARE(
      "gang.prepareTimeoutMillis", 100, 600_000, 10_000, "longest time to prepare all members"),
  /** Time before a command is sent again. */
  GANG_RETRY("gang.retryMillis", 10, 60_000, 500, "time before a command is sent again"),
  /** Longest wait for a worker. */
  GANG_CALL("gang.callTimeoutMillis", 10, 60_000, 1_500, "longest wait for a worker's answer");

  /** What a value may be. */
  enum Kind {
    NUMBER("a whole number", ".*"),
    NAME("1 to 63 of a-z, 0-9 and '-'", "[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?"),
    HOST("an IP number", "[0-9a-fA-F.:]{2,45}"),
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

  /** Returns the place in the file, such as "gang.leaseMillis". */
  public String path() {
    return path;
  }

  /** Returns what the setting is for. */
  public String description() {
    return description;
  }

  /** Returns the default as text, null where the setting must be given. */
  public String defaultText() {
    return defaultText;
  }

  /** Returns what values are allowed, for people. */
  public String allowed() {
    return kind == Kind.NUMBER ? min + " to " + max : kind.allowed;
  }

  /** Returns the unit, empty where there is none. */
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
