package org.peridotroute.lib;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Message digests. Stateless. */
public final class Digests {
  private Digests() {}

  /**
   * Computes the SHA-256 digest of some bytes.
   *
   * @param bytes the bytes
   * @return the digest in lower-case hexadecimal
   */
  public static String sha256(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is not available, although every Java platform must support it", e);
    }
  }
}
