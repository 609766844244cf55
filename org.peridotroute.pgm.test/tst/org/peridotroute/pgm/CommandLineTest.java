package org.peridotroute.pgm;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;

/** Runs command lines of both programs that end before any request is sent. */
final class CommandLineTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(BiFunction<Console, String[], Integer> program, String... arguments) {
    out.reset();
    err.reset();
    return program.apply(
        new Console(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8)),
        arguments);
  }

  private int ctl(String... arguments) {
    return run(PeridotctlMain::run, arguments);
  }

  private int server(String... arguments) {
    return run(PeridotrouteMain::run, arguments);
  }

  private String output() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String errors() {
    return err.toString(StandardCharsets.UTF_8);
  }

  /** Guards against a help option that is taken for a command. */
  @Test
  void programPrintsItsHelpAndExitCodes() {
    for (String option : new String[] {"--help", "-h", "help"}) {
      assertThat(ctl(option)).isEqualTo(ExitCode.OK);
      assertThat(output()).contains("submit a job");
      assertThat(output()).contains("2  the command line, a file or the settings are invalid");
      assertThat(server(option)).isEqualTo(ExitCode.OK);
      assertThat(output()).contains("run the process on an entry VM");
      assertThat(errors()).isEmpty();
    }
  }

  /** Guards against a help option that is taken for the argument of a command. */
  @Test
  void commandPrintsItsHelp() {
    assertThat(ctl("submit", "--help")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("--members");
    assertThat(ctl("submit", "le-goff/sheet-1", "-h")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("--members");
    assertThat(ctl("help", "submit")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("--members");
    assertThat(server("serve", "--help")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("--settings");
  }

  /** Guards against a group of commands without help of its own. */
  @Test
  void groupAndItsCommandPrintTheirHelp() {
    assertThat(ctl("config", "--help")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("status");
    assertThat(ctl("config", "status", "--help")).isEqualTo(ExitCode.OK);
    assertThat(output()).contains("--url");
  }

  /** Guards against a misspelt command in a script that seems to succeed. */
  @Test
  void unknownCommandIsAnError() {
    assertThat(ctl("sbumit")).isEqualTo(ExitCode.USAGE);
    assertThat(errors()).isEqualTo("unknown command sbumit; see peridotctl --help\n");
    assertThat(output()).isEmpty();
    assertThat(ctl("config", "stauts")).isEqualTo(ExitCode.USAGE);
    assertThat(errors()).contains("unknown command config stauts");
    assertThat(ctl("help", "sbumit")).isEqualTo(ExitCode.USAGE);
    assertThat(server("srever", "--help")).isEqualTo(ExitCode.USAGE);
    assertThat(errors()).isEqualTo("unknown command srever; see peridotroute --help\n");
  }

  /** Guards against an unknown option that is taken for an argument. */
  @Test
  void unknownOptionIsAnError() {
    assertThat(ctl("--bogus")).isEqualTo(ExitCode.USAGE);
    assertThat(errors()).contains("unknown option --bogus");
    assertThat(ctl("get", "--bogus")).isEqualTo(ExitCode.USAGE);
    assertThat(errors()).contains("unknown option --bogus");
    assertThat(ctl("config", "--bogus")).isEqualTo(ExitCode.USAGE);
    assertThat(server("check", "--bogus=1")).isEqualTo(ExitCode.USAGE);
    assertThat(errors()).contains("unknown option --bogus=1");
  }

  /** Guards against the value of an option that is taken for a request for help. */
  @Test
  void valueOfAnOptionIsNotAHelpOption() {
    assertThat(ctl("submit", "no-slash", "--payload", "--help")).isEqualTo(ExitCode.USAGE);
    assertThat(errors()).contains("expected ORGANISATION/JOB");
  }

  /** Guards against invalid settings that are reported as a refused request. */
  @Test
  void unreadableSettingsAreAnErrorOfUsage() {
    assertThat(server("edge", "--settings", "/nonexistent/edge.json")).isEqualTo(ExitCode.USAGE);
    assertThat(errors()).isNotEmpty();
  }
}
