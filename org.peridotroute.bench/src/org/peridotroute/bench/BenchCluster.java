package org.peridotroute.bench;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.peridotroute.http.HttpClient;
import org.peridotroute.http.HttpReply;
import org.peridotroute.lib.PlaceId;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.VmInfo;
import org.peridotroute.standin.PlatformStandIn;

/**
 * A stand-in platform in the bench's process and real processes of ours beside it, on loopback.
 * Used by one thread.
 */
public final class BenchCluster {
  private static final long READY_MILLIS = 60_000;
  private static final long POLL_MILLIS = 10;
  private static final long CALL_MILLIS = 10_000;

  private final HttpClient caller = new HttpClient();
  private final PlatformStandIn platform;
  private final Path jar;
  private final Path folder;
  private final List<ServeProcess> vms = new CopyOnWriteArrayList<>();

  /**
   * Starts a platform.
   *
   * @param jar the jar to run VMs from
   * @param racks racks
   * @param workersPerRack workers in each
   * @throws IOException if no folder for logs can be made
   */
  public BenchCluster(Path jar, int racks, int workersPerRack) throws IOException {
    this.jar = jar;
    folder = Files.createTempDirectory("peridotroute-bench");
    platform =
        PlatformStandIn.newBuilder(0).setRacks(racks).setWorkersPerRack(workersPerRack).build();
    platform.start();
    caller.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::onShutdown, "kill-vms"));
  }

  /** Returns the platform. */
  public PlatformStandIn platform() {
    return platform;
  }

  /** Returns the VMs. */
  public List<ServeProcess> vms() {
    return vms;
  }

  /**
   * Starts one more VM.
   *
   * @return the VM, which may not be ready yet
   * @throws IOException if it cannot be started
   */
  public ServeProcess addVm() throws IOException {
    String name = "vm-" + (vms.size() + 1);
    ServeProcess vm = new ServeProcess(name, freePort(), freePort(), jar, folder, platform.url());
    vms.add(vm);
    platform.addVm(new VmInfo(new VmId(name), new PlaceId("quimper"), false, vm.url(), vm.peer()));
    vm.start();
    return vm;
  }

  /**
   * Waits until a VM is ready.
   *
   * @param vm the VM
   * @throws InterruptedException if interrupted while waiting
   */
  public void awaitReady(ServeProcess vm) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
    while (System.nanoTime() < deadlineNanos) {
      try {
        if (call("GET", vm, "/v1/health", null).isOk()) {
          return;
        }
      } catch (ExecutionException e) {
        // The process does not listen yet.
      }
      Thread.sleep(POLL_MILLIS);
    }
    throw new IllegalStateException(vm.name() + " did not become ready");
  }

  /**
   * Calls a VM's resource API.
   *
   * @param method the method
   * @param vm the VM
   * @param path the path
   * @param body the body, null for none
   * @return the answer
   * @throws InterruptedException if interrupted while waiting
   * @throws ExecutionException if there is no answer
   */
  public HttpReply call(String method, ServeProcess vm, String path, String body)
      throws InterruptedException, ExecutionException {
    return caller.call(method, vm.url() + path, body, CALL_MILLIS).get();
  }

  /**
   * Ends all processes and the platform.
   *
   * @throws InterruptedException if interrupted while waiting
   */
  public void stop() throws InterruptedException {
    killAll();
    vms.clear();
    platform.stop();
    caller.stop();
  }

  private void killAll() throws InterruptedException {
    for (ServeProcess vm : vms) {
      vm.kill();
    }
  }

  /** Leaves no process behind when the bench itself is ended early. */
  private void onShutdown() {
    try {
      killAll();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
