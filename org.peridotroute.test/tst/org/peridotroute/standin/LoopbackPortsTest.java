package org.peridotroute.standin;

import static com.google.common.truth.Truth.assertThat;

import java.io.File;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a soak that cannot be played because another process has taken the port that a
 * stand-in had closed for a while.
 */
final class LoopbackPortsTest {
  private static final int OWN_PORTS = 500;
  private static final int OTHER_PORTS = 2_000;

  /** The other process. */
  static final class PortFinder {
    private PortFinder() {}

    /** Finds ports and prints them. */
    public static void main(String[] arguments) {
      for (int i = 0; i < OTHER_PORTS; i++) {
        System.out.println(LoopbackPorts.findFree());
      }
    }
  }

  @Test
  void aPortThatIsClosedForAWhileIsNotFoundByAnotherProcess() throws Exception {
    Set<Integer> own =
        IntStream.range(0, OWN_PORTS)
            .mapToObj(i -> LoopbackPorts.findFree())
            .collect(Collectors.toSet());
    List<Integer> others = findPortsInAnotherProcess();
    assertThat(others).hasSize(OTHER_PORTS);
    assertThat(own).containsNoneIn(others);
  }

  private static List<Integer> findPortsInAnotherProcess() throws IOException, URISyntaxException {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                location(LoopbackPorts.class) + File.pathSeparator + location(PortFinder.class),
                PortFinder.class.getName())
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    return output.lines().map(Integer::valueOf).toList();
  }

  private static String location(Class<?> type) throws URISyntaxException {
    return Path.of(type.getProtectionDomain().getCodeSource().getLocation().toURI()).toString();
  }
}
