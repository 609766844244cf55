package org.peridotroute.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.peridotroute.http.Json;
import org.peridotroute.lib.Checks;
import org.peridotroute.lib.Organisation;
import org.peridotroute.lib.OrganisationId;

/**
 * A file of organisation declarations, as kept in version control: JSON with comments.
 *
 * @param organisations the declared organisations
 */
record Manifest(List<Declaration> organisations) {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .build();

  /** Copies the list. */
  Manifest {
    organisations = List.copyOf(Checks.present("organisations", organisations));
  }

  /**
   * The declaration of one organisation.
   *
   * @param name the organisation's name
   * @param revision the revision that the change is based on; null for the current revision
   * @param spec the declared guarantees and description
   */
  record Declaration(OrganisationId name, Long revision, Organisation spec) {
    Declaration {
      Checks.present("organisations.name", name);
      Checks.present("organisations.spec", spec);
    }
  }

  /** Reads a file, or all files of a directory whose names end in .json, sorted by path. */
  static List<Declaration> read(Path path) throws CommandException {
    List<Declaration> declarations = new ArrayList<>();
    try {
      for (Path file : files(path)) {
        declarations.addAll(
            MAPPER.readValue(Files.readString(file), Manifest.class).organisations());
      }
    } catch (JsonProcessingException e) {
      throw new CommandException(ExitCode.USAGE, path + " is not valid at " + Json.describe(e));
    } catch (IOException e) {
      throw new CommandException(ExitCode.USAGE, "cannot read " + path + ": " + e);
    }
    return declarations;
  }

  private static List<Path> files(Path path) throws IOException {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> files = Files.list(path)) {
      return files.filter(file -> file.toString().endsWith(".json")).sorted().toList();
    }
  }
}
