package lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Chooses free ports below the range of outgoing connections, which could take them meanwhile. */
final class Ports {
  private static final int FIRST = 15_000;
  private static final int PORTS_PER_PROGRAM = 100;
  private static final int PROGRAMS = 170;

  /** Programs that run at the same time mostly have other process ids, and so other ports. */
  private static int next =
      FIRST + (int) (ProcessHandle.current().pid() % PROGRAMS) * PORTS_PER_PROGRAM;

  private Ports() {}

  /** Returns a port that was free a moment ago and that this program has not chosen before. */
  static synchronized int choose() {
    int port = next++;
    while (!isFree(port)) {
      port = next++;
    }
    return port;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
