package org.peridotroute.lib;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digests of what travels or is kept. Stateless. */
public final class Digests {
  private Digests() {}

  /**
   * Digests bytes.
   *
   * @param bytes the bytes
   * @return lower-case hexadecimal SHA-256
   */
  public static String sha256(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
