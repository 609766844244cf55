package org.peridotroute.server.edge;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.peridotroute.scheduler.model.Feature;
import org.peridotroute.scheduler.model.PolicySettings;
import org.peridotroute.server.settings.SettingsException;

/** Tests the validation of an entry VM's settings and the values derived from them. */
final class EdgeSettingsTest {
  private static final String COMPLETE =
      """
      // in the platform's format, with an unknown field and a trailing comma
      {
        "vm": "edge-1", "dataCentre": "a", "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
        "store": "127.0.0.1:3", "leaseMillis": 6000, "stopMillis": 400, "reclaimMillis": 2900,
        "farFactor": 3, "heartbeatMillis": 1500, "graceSeconds": 2.5,
        "processorShare": 0.36, "processorSpeed": 1, "unknown": true,
      }
      """;

  @TempDir private Path directory;

  private EdgeSettings read(String text) throws IOException, SettingsException {
    Path file = directory.resolve("edge.json");
    Files.writeString(file, text);
    return EdgeSettings.read(file);
  }

  @Test
  void convertsGraceSecondsToMillis() throws Exception {
    assertThat(read(COMPLETE).graceMillis()).isEqualTo(2_500);
  }

  @Test
  void namesTheInvalidField() {
    SettingsException thrown =
        assertThrows(
            SettingsException.class, () -> read(COMPLETE.replace("\"stopMillis\": 400,", "")));
    assertThat(thrown).hasMessageThat().contains("stopMillis");
  }

  @Test
  void delaysPlannerClaimOnVmsWithLittleProcessorTime() throws Exception {
    EdgeSettings fastVm = read(COMPLETE.replace("0.36", "0.75"));
    assertThat(fastVm.toSchedulerVmSettings("run-1", PolicySettings.NONE).claimDelayMillis())
        .isEqualTo(0);
    assertThat(
            read(COMPLETE).toSchedulerVmSettings("run-1", PolicySettings.NONE).claimDelayMillis())
        .isGreaterThan(100);
  }

  @Test
  void delaysPlannerClaimOnVmsWithASlowLink() throws Exception {
    String fastVm = COMPLETE.replace("0.36", "0.75");
    EdgeSettings slowLink = read(fastVm.replace("\"unknown\": true", "\"linkMegabits\": 2"));
    assertThat(slowLink.toSchedulerVmSettings("run-1", PolicySettings.NONE).claimDelayMillis())
        .isGreaterThan(100);
  }

  @Test
  void startsUnderWayFollowTheLink() throws Exception {
    EdgeSettings slowLink = read(COMPLETE.replace("\"unknown\": true", "\"linkMegabits\": 2"));
    assertThat(
            slowLink
                .toSchedulerVmSettings("run-1", PolicySettings.NONE)
                .dispatch()
                .linkBytesPerSecond())
        .isEqualTo(250_000);
    assertThat(
            read(COMPLETE)
                .toSchedulerVmSettings("run-1", PolicySettings.NONE)
                .dispatch()
                .linkBytesPerSecond())
        .isEqualTo(12_500_000);
  }

  @Test
  void rejectsANegativeLink() {
    SettingsException thrown =
        assertThrows(
            SettingsException.class,
            () -> read(COMPLETE.replace("\"unknown\": true", "\"linkMegabits\": -1")));
    assertThat(thrown).hasMessageThat().contains("linkMegabits");
  }

  @Test
  void switchesNothingOnUnlessAsked() throws Exception {
    assertThat(read(COMPLETE).toPolicySettings(Set.of())).isEqualTo(PolicySettings.NONE);
  }

  @Test
  void joinsFeaturesOfTheFileAndOfTheContracts() throws Exception {
    EdgeSettings settings =
        read(COMPLETE.replace("\"unknown\": true", "\"features\": [\"caller-cost\"]"));
    assertThat(settings.toPolicySettings(Set.of(Feature.WORKER_CONDUCT)).features())
        .containsExactly(Feature.CALLER_COST, Feature.WORKER_CONDUCT);
  }

  @Test
  void rejectsAnUnknownFeature() {
    SettingsException thrown =
        assertThrows(
            SettingsException.class,
            () -> read(COMPLETE.replace("\"unknown\": true", "\"features\": [\"callercost\"]")));
    assertThat(thrown).hasMessageThat().contains("features");
  }
}
