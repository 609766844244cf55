package org.peridotroute.pgm;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Runs peridotctl commands and records their output, with values that vary between runs masked. */
final class CtlSession {
  private final StringBuilder transcript = new StringBuilder();
  private final String url;

  CtlSession(String url) {
    this.url = url;
  }

  /** Runs one command against the session's VM. */
  CtlSession run(String... arguments) {
    return runAt(url, arguments);
  }

  /** Runs one command against another VM. */
  CtlSession runAt(String otherUrl, String... arguments) {
    transcript.append("$ peridotctl ").append(String.join(" ", arguments)).append('\n');
    transcript.append(output(otherUrl, arguments)).append('\n');
    return this;
  }

  /** Runs one command against another VM without recording it. */
  CtlSession runUnrecordedAt(String otherUrl, String... arguments) {
    var unused = output(otherUrl, arguments);
    return this;
  }

  private static String output(String url, String... arguments) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    List<String> commandLine = new ArrayList<>(List.of(arguments));
    commandLine.add(1, "--url");
    commandLine.add(2, url);
    int exitCode =
        PeridotctlMain.run(new Console(stream, stream), commandLine.toArray(new String[0]));
    return maskVariableValues(bytes.toString(StandardCharsets.UTF_8)) + "[exit " + exitCode + "]\n";
  }

  /** Adds a comment line to the transcript. */
  CtlSession note(String text) {
    transcript.append("# ").append(text).append('\n');
    return this;
  }

  String transcript() {
    return transcript.toString();
  }

  private static String maskVariableValues(String text) {
    return text.replaceAll("(?m)^\\d+ (?=[a-z])", "REV ")
        .replaceAll("(?i)(revision\"? ?:? ?)\\d+", "$1REV")
        .replaceAll("127\\.0\\.0\\.1:\\d+", "ADDRESS");
  }
}
