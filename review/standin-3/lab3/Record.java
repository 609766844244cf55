package lab3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the time since the start. */
final class Record {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path folder) throws IOException {
    out = new PrintWriter(folder.resolve("record.txt").toFile(), "UTF-8");
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void add(String format, Object... arguments) {
    String line = String.format("%8.3f  ", seconds()) + String.format(format, arguments);
    out.println(line);
    out.flush();
    System.out.println(line);
  }
}
