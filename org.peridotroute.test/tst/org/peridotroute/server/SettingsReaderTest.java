package org.peridotroute.server;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.peridotroute.server.settings.Setting;
import org.peridotroute.server.settings.Settings;
import org.peridotroute.server.settings.SettingsException;
import org.peridotroute.server.settings.SettingsReader;

/** Tests the parsing and validation of settings, and the messages of their faults. */
final class SettingsReaderTest {
  @Test
  void acceptsCommentsAndFillsInDefaults() throws SettingsException {
    Settings settings =
        SettingsReader.parse(
            "vm.json",
            """
            // Our first VM.
            {"vm": {"id": "vm-1", "place": "quimper"}, /* local */
             "platform": {"url": "http://127.0.0.1:7300"}}
            """);
    assertThat(settings.vmId().value()).isEqualTo("vm-1");
    assertThat(settings.number(Setting.GANG_LEASE)).isEqualTo(24_000);
  }

  @Test
  void reportsAllFaultsAtOnce() {
    SettingsException thrown =
        assertThrows(
            SettingsException.class,
            () ->
                SettingsReader.parse(
                    "vm.json",
                    """
                    {"vm": {"id": "VM 1"}, "platform": {"url": "ftp://x"},
                     "api": {"port": 70000, "colour": "red"}}
                    """));
    assertThat(thrown)
        .hasMessageThat()
        .isEqualTo(
            """
            vm.json: $.vm.id is "VM 1"; allowed is 1 to 63 of a-z, 0-9 and '-'
            vm.json: $.vm.place is missing; allowed is 1 to 63 of a-z, 0-9 and '-'
            vm.json: $.api.port is 70000; allowed is 0 to 65535
            vm.json: $.platform.url is "ftp://x"; allowed is a URL such as http://127.0.0.1:7300
            vm.json: $.api.colour is not a known setting; allowed is what settings-schema lists""");
  }

  @Test
  void reportsInconsistentSettings() {
    SettingsException thrown =
        assertThrows(
            SettingsException.class,
            () ->
                SettingsReader.parse(
                    "vm.json",
                    """
                    {"vm": {"id": "vm-1", "place": "quimper"},
                     "platform": {"url": "http://127.0.0.1:7300"},
                     "gang": {"leaseMillis": 6000, "renewMillis": 5000}}
                    """));
    assertThat(thrown)
        .hasMessageThat()
        .isEqualTo(
            "vm.json: $.gang.renewMillis is 5000; allowed is at most 3000, since gang.leaseMillis is"
                + " 6000");
  }

  @Test
  void reportsPositionOfJsonSyntaxError() {
    SettingsException thrown =
        assertThrows(
            SettingsException.class, () -> SettingsReader.parse("vm.json", "{\"vm\": \n oops}"));
    assertThat(thrown).hasMessageThat().contains("not JSON at line 2 column");
  }
}
