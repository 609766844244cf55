package review;

import java.nio.file.Path;

/** Runs a case and turns its result into an exit code. */
abstract class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** Whether the disruption is brought about. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  Record record;

  /** Plays the case and returns what is broken, or null if the rule held. */
  abstract String play() throws Exception;

  static void run(Case played, String[] arguments) {
    int code = COULD_NOT_RUN;
    try {
      played.record = new Record(Path.of(arguments[0]));
      played.record.line("TROUBLE=" + (played.trouble ? 1 : 0));
      String broken = played.play();
      played.record.line(broken == null ? "HELD" : "BROKEN: " + broken);
      code = broken == null ? HELD : BROKEN;
    } catch (Exception e) {
      if (played.record != null) {
        played.record.line("COULD NOT RUN: " + e);
      }
      e.printStackTrace();
    }
    System.exit(code);
  }
}
