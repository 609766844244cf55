package org.peridotroute.adapter;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that only the adapter uses the platform's wire names, and that the adapter imports none of
 * the packages that make scheduling decisions.
 */
final class BoundaryTest {
  private static final Path ROOT = Path.of("").toAbsolutePath().getParent();
  private static final Pattern WIRE_NAMES =
      Pattern.compile(
          "\"(api_keys|path_prefix|mem_mb|last_seen|last_checkpoint|has_more|same_rack|clock_ms"
              + "|max_per_server|deadline_ms|/api/(?!ready\").*|Peridotroute-.*|keyed\\..*)\"");
  private static final Pattern DECISION_IMPORTS =
      Pattern.compile(
          "import org\\.peridotroute\\.(scheduler\\.(plan|dispatch)|policy|control)\\.");

  private static List<String> matchingSources(Path module, Pattern pattern) throws IOException {
    List<String> matches = new ArrayList<>();
    Path src = module.resolve("src");
    if (!Files.exists(src)) {
      return matches;
    }
    try (Stream<Path> paths = Files.walk(src)) {
      for (Path source : paths.filter(path -> path.toString().endsWith(".java")).toList()) {
        if (pattern.matcher(Files.readString(source)).find()) {
          matches.add(ROOT.relativize(source).toString());
        }
      }
    }
    return matches;
  }

  @Test
  void onlyTheAdapterUsesWireNames() throws IOException {
    List<String> matches = new ArrayList<>();
    try (Stream<Path> modules = Files.list(ROOT)) {
      for (Path module : modules.filter(path -> !path.endsWith("platform")).toList()) {
        matches.addAll(matchingSources(module, WIRE_NAMES));
      }
    }
    assertThat(matches).isEmpty();
  }

  @Test
  void adapterImportsNoDecisionPackages() throws IOException {
    assertThat(matchingSources(ROOT.resolve("platform"), DECISION_IMPORTS)).isEmpty();
  }
}
