package org.peridotroute.lib;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.peridotroute.errors.InvalidValueException;

/**
 * IPv4 address and TCP port of a server. Host names are not accepted, since a lookup would block
 * the thread that makes a call.
 *
 * @param host address in dotted decimal form
 * @param port port from 1 to 65535
 */
public record HostPort(String host, int port) {
  private static final Pattern TEXT = Pattern.compile("((?:\\d{1,3}\\.){3}\\d{1,3}):(\\d{1,5})");

  private static final Pattern HOST =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})");
  private static final int MAX_OCTET = 255;
  private static final int MAX_PORT = 65_535;

  /** Validates host and port. */
  public HostPort {
    Matcher octets = HOST.matcher(Checks.present("host", host));
    if (!octets.matches()) {
      throw InvalidValueException.address(host);
    }
    for (int i = 1; i <= octets.groupCount(); i++) {
      Checks.range("host.octet", Integer.parseInt(octets.group(i)), 0, MAX_OCTET);
    }
    Checks.range("port", port, 1, MAX_PORT);
  }

  /**
   * Parses an address.
   *
   * @param text the address as HOST:PORT
   * @return the address
   * @throws InvalidValueException if the text is not an address
   */
  public static HostPort parse(String text) {
    Matcher parts = TEXT.matcher(Checks.present("address", text));
    if (!parts.matches()) {
      throw InvalidValueException.address(text);
    }
    return new HostPort(parts.group(1), Integer.parseInt(parts.group(2)));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
