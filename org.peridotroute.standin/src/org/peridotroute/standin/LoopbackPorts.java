package org.peridotroute.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports on loopback below the range that the system gives to outgoing connections, so
 * that a port can be closed for a while and opened again. A process takes its ports from blocks
 * that it claims for its lifetime, by listening on the first port of each. Thread-safe.
 */
public final class LoopbackPorts {
  private static final int FIRST_PORT = 12_000;
  private static final int BLOCK_PORTS = 100;
  private static final int BLOCKS = 180;
  private static final int MAX_TRIES = 1_000;

  /** Listeners that claim the blocks of this process. */
  private static final List<ServerSocket> CLAIMS = new ArrayList<>();

  private static int nextPort;
  private static int blockEnd;

  private LoopbackPorts() {}

  /** Returns a port that is free now and that no other process finds. */
  public static synchronized int findFree() {
    for (int i = 0; i < MAX_TRIES; i++) {
      if (nextPort == blockEnd) {
        claimBlock();
      }
      int port = nextPort++;
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("no free loopback port");
  }

  private static void claimBlock() {
    IOException last = null;
    for (int i = 0; i < MAX_TRIES; i++) {
      int first = FIRST_PORT + BLOCK_PORTS * ThreadLocalRandom.current().nextInt(BLOCKS);
      try {
        CLAIMS.add(listen(first));
        nextPort = first + 1;
        blockEnd = first + BLOCK_PORTS;
        return;
      } catch (IOException e) {
        last = e;
      }
    }
    throw new IllegalStateException("no free block of loopback ports", last);
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = listen(port)) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  private static ServerSocket listen(int port) throws IOException {
    ServerSocket socket = new ServerSocket();
    try {
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      return socket;
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }
}
