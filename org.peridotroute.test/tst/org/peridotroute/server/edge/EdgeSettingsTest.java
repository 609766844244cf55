package org.peridotroute.server.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.peridotroute.server.settings.SettingsException;

/** Settings of an entry VM are checked as a whole before anything starts. */
final class EdgeSettingsTest {
  private static final String WHOLE =
      """
      // as the platform fills them in
      {
        "vm": "edge-1", "dataCentre": "a", "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
        "store": "127.0.0.1:3", "leaseMillis": 6000, "stopMillis": 400, "reclaimMillis": 2900,
        "farFactor": 3, "heartbeatMillis": 1500, "graceSeconds": 2.5,
        "processorShare": 0.36, "processorSpeed": 1, "unknown": true,
      }
      """;

  @TempDir private Path folder;

  private EdgeSettings read(String text) throws IOException, SettingsException {
    Path file = folder.resolve("edge.json");
    Files.writeString(file, text);
    return EdgeSettings.read(file);
  }

  @Test
  void readsFractionsOfSeconds() throws Exception {
    assertThat(read(WHOLE).graceMillis()).isEqualTo(2_500);
  }

  @Test
  void namesTheFieldThatIsWrong() {
    SettingsException thrown =
        assertThrows(
            SettingsException.class, () -> read(WHOLE.replace("\"stopMillis\": 400,", "")));
    assertThat(thrown).hasMessageThat().contains("stopMillis");
  }

  @Test
  void leavesThePlannersRoleToStrongerVms() throws Exception {
    EdgeSettings strong = read(WHOLE.replace("0.36", "0.75"));
    assertThat(strong.toNodeSettings("run-1").claimDelayMillis()).isEqualTo(0);
    assertThat(read(WHOLE).toNodeSettings("run-1").claimDelayMillis()).isGreaterThan(100);
  }
}
