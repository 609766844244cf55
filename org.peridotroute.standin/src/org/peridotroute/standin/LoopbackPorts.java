package org.peridotroute.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports on loopback below the range that the system gives to outgoing connections, so
 * that a port can be closed for a while and opened again. Stateless.
 */
public final class LoopbackPorts {
  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 30_000;
  private static final int MAX_TRIES = 1_000;

  private LoopbackPorts() {}

  /** Returns a port that is free now. */
  public static int findFree() {
    for (int i = 0; i < MAX_TRIES; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("no free loopback port");
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
