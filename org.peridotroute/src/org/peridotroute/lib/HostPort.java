package org.peridotroute.lib;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.peridotroute.errors.InvalidValueException;

/**
 * IPv4 address and TCP port of a server. Host names are not accepted, since a lookup would block
 * the thread that makes a call. Immutable and thread-safe.
 */
public final class HostPort {
  private static final Pattern TEXT =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

  private static final int OCTETS = 4;
  private static final int MAX_OCTET = 255;
  private static final int MAX_PORT = 65_535;

  private final String text;
  private final int port;

  private HostPort(String host, int port) {
    text = host + ":" + port;
    this.port = port;
  }

  /**
   * Parses an address.
   *
   * @param text the address as HOST:PORT, with the host in dotted decimal form and a port from 1 to
   *     65535
   * @return the address
   * @throws InvalidValueException if the text is not an address
   */
  public static HostPort parse(String text) {
    Matcher parts = TEXT.matcher(Checks.present("address", text));
    if (!parts.matches()) {
      throw InvalidValueException.address(text);
    }
    for (int i = 1; i <= OCTETS; i++) {
      Checks.range("host.octet", Integer.parseInt(parts.group(i)), 0, MAX_OCTET);
    }
    int port = Checks.range("port", Integer.parseInt(parts.group(OCTETS + 1)), 1, MAX_PORT);
    return new HostPort(text.substring(0, text.indexOf(':')), port);
  }

  /** Returns the port. */
  public int port() {
    return port;
  }

  @Override
  public boolean equals(Object object) {
    return object instanceof HostPort other && text.equals(other.text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }

  /** Returns the address as HOST:PORT. */
  @Override
  public String toString() {
    return text;
  }
}
