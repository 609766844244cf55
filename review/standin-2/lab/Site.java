package lab;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The figures of a site that the settings of a process and the workers depend on.
 *
 * @param maxHoldMillis longest lease that a worker grants
 * @param moreContracts contracts in force besides those of the smaller sites
 */
record Site(
    long maxHoldMillis,
    long stopMillis,
    long reclaimMillis,
    long restoreMillis,
    String... moreContracts) {
  /** The site khet-till. */
  static final Site KHET_TILL = new Site(6_000, 400, 2_900, 600);

  /** The site khet-till-grown. */
  static final Site KHET_TILL_GROWN = new Site(10_000, 900, 3_400, 250, "health");

  /** Returns the values of the placeholders that concern the site, as JSON. */
  Map<String, String> settings() {
    Map<String, String> values = new LinkedHashMap<>();
    values.put("bounds.max_hold_ms", Long.toString(maxHoldMillis));
    values.put("bounds.stop_ms", Long.toString(stopMillis));
    values.put("bounds.reclaim_ms", Long.toString(reclaimMillis));
    values.put("bounds.far_factor", "3");
    values.put("bounds.grace_s", "6");
    values.put("bounds.restore_ms", Long.toString(restoreMillis));
    values.put("heartbeat_ms", "1500");
    values.put("limits.cpu_share", "0.75");
    values.put("limits.cores", "1");
    values.put("limits.link_mbps", "1000.0");
    StringBuilder contracts =
        new StringBuilder(
            "[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\","
                + "\"platform\",\"advice\",\"upkeep\",\"sharing\"");
    for (String contract : moreContracts) {
      contracts.append(",\"").append(contract).append('"');
    }
    values.put("contracts", contracts.append(']').toString());
    values.put("zones", "{\"zone-a\":\"region-a\"}");
    return values;
  }
}
