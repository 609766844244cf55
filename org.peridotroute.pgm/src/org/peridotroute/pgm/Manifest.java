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
 * Declarations of organisations, as kept in version control: JSON with comments.
 *
 * @param organisations the organisations declared
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
   * One organisation.
   *
   * @param name its name
   * @param revision the revision the change was made from; the one in force where absent
   * @param spec the declaration
   */
  record Declaration(OrganisationId name, Long revision, Organisation spec) {
    Declaration {
      Checks.present("organisations.name", name);
      Checks.present("organisations.spec", spec);
    }
  }

  /** Reads a file, or every file that ends in .json of a folder, in the order of their names. */
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
      throw new CommandException(ExitCode.USAGE, path + " cannot be read");
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
