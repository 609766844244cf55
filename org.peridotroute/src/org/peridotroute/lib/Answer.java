package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.nio.charset.StandardCharsets;

/**
 * Output of a task or answer of a job. The digest detects text that is truncated or mixed with
 * other text, which must never be passed on.
 *
 * @param body the text
 * @param sha256 lower-case hexadecimal SHA-256 of the text in UTF-8
 */
public record Answer(String body, String sha256) {
  /** Maximum size of a job's complete answer in bytes, in UTF-8. */
  public static final int MAX_BYTES = 64 * 1024;

  /**
   * Creates an answer and computes its digest.
   *
   * @param body the text
   * @return the answer
   */
  public static Answer of(String body) {
    return new Answer(body, digest(body));
  }

  /** Returns whether the text is present and matches the digest. */
  @JsonIgnore
  public boolean isIntact() {
    return body != null && digest(body).equals(sha256);
  }

  private static String digest(String body) {
    return Digests.sha256(body.getBytes(StandardCharsets.UTF_8));
  }
}
