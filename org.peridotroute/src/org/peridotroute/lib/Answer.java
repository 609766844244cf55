package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.nio.charset.StandardCharsets;

/**
 * A whole answer with its digest, so that a cut or mixed one is never passed on.
 *
 * @param body the text
 * @param sha256 lower-case hexadecimal SHA-256 of the text in UTF-8
 */
public record Answer(String body, String sha256) {
  /** Most bytes of a job's whole answer, in UTF-8. */
  public static final int MAX_BYTES = 64 * 1024;

  /**
   * Makes an answer with its digest.
   *
   * @param body the text
   * @return the answer
   */
  public static Answer of(String body) {
    return new Answer(body, digest(body));
  }

  /** Returns whether the text is what the digest was taken of. */
  @JsonIgnore
  public boolean isIntact() {
    return body != null && digest(body).equals(sha256);
  }

  private static String digest(String body) {
    return Digests.sha256(body.getBytes(StandardCharsets.UTF_8));
  }
}
