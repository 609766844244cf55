package org.peridotroute.adapter.standin;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/**
 * Guards against a soak that hangs because a stand-in could not listen on its port again: processes
 * that were being started still held copies of the listener that it had just closed.
 */
final class HttpStandInTest {
  private static final int ROUNDS = 30;

  private final AtomicBoolean stopping = new AtomicBoolean();

  private void startProcesses() {
    while (!stopping.get()) {
      try {
        new ProcessBuilder("true").start().waitFor();
      } catch (IOException e) {
        throw new IllegalStateException("cannot start a process", e);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  @Test
  void listensOnItsPortAgainWhileProcessesAreBeingStarted() throws Exception {
    StoreStandIn store = new StoreStandIn(0);
    store.start();
    Thread starter = new Thread(this::startProcesses, "starter");
    starter.start();
    try {
      for (int i = 0; i < ROUNDS; i++) {
        store.setRefusing(true);
        store.setRefusing(false);
      }
    } finally {
      stopping.set(true);
      starter.join();
    }
    String[] address = store.address().split(":", -1);
    try (Socket socket =
        new Socket(InetAddress.getByName(address[0]), Integer.parseInt(address[1]))) {
      assertThat(socket.isConnected()).isTrue();
    }
    store.stop();
  }
}
