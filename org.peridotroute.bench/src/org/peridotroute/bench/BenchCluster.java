package org.peridotroute.bench;

import java.io.IOException;
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
import org.peridotroute.standin.LoopbackPorts;
import org.peridotroute.standin.PlatformStandIn;

/**
 * A stand-in platform in the bench's own process, and VMs as separate processes that connect to it
 * over loopback. Used by one thread.
 */
public final class BenchCluster {
  private static final long READY_TIMEOUT_MILLIS = 60_000;
  private static final long POLL_MILLIS = 10;
  private static final long CALL_TIMEOUT_MILLIS = 10_000;

  private final HttpClient caller = new HttpClient();
  private final PlatformStandIn platform;
  private final Path jar;
  private final Path folder;
  private final List<ServeProcess> vms = new CopyOnWriteArrayList<>();

  /**
   * Starts a platform without VMs.
   *
   * @param jar the jar to run VMs from
   * @param racks number of racks
   * @param workersPerRack number of workers in each rack
   * @throws IOException if the folder for settings and logs cannot be created
   */
  public BenchCluster(Path jar, int racks, int workersPerRack) throws IOException {
    this.jar = jar;
    folder = Files.createTempDirectory("peridotroute-bench");
    platform =
        PlatformStandIn.newBuilder(0).setRacks(racks).setWorkersPerRack(workersPerRack).build();
    platform.start();
    caller.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::killOnShutdown, "kill-vms"));
  }

  /** Returns the stand-in platform. */
  public PlatformStandIn platform() {
    return platform;
  }

  /** Returns the VMs in the order in which they were added. */
  public List<ServeProcess> vms() {
    return vms;
  }

  /**
   * Starts another VM.
   *
   * @return the VM, which may not be ready yet
   * @throws IOException if it cannot be started
   */
  public ServeProcess addVm() throws IOException {
    String name = "vm-" + (vms.size() + 1);
    ServeProcess vm =
        new ServeProcess(
            name, LoopbackPorts.findFree(), LoopbackPorts.findFree(), jar, folder, platform.url());
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
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
    while (System.nanoTime() < deadlineNanos) {
      try {
        if (call("GET", vm, "/v1/health", null).isOk()) {
          return;
        }
      } catch (ExecutionException e) {
        // The process is not listening yet; retry.
      }
      Thread.sleep(POLL_MILLIS);
    }
    throw new IllegalStateException(
        vm.name() + " did not become ready within " + READY_TIMEOUT_MILLIS + " ms");
  }

  /**
   * Sends a request to a VM's resource API and waits for the response.
   *
   * @param method the HTTP method
   * @param vm the VM
   * @param path the path of the resource
   * @param body the request body, null for none
   * @return the response, whatever its status
   * @throws InterruptedException if interrupted while waiting
   * @throws ExecutionException if the connection fails or the request times out
   */
  public HttpReply call(String method, ServeProcess vm, String path, String body)
      throws InterruptedException, ExecutionException {
    return caller.call(method, vm.url() + path, body, CALL_TIMEOUT_MILLIS).get();
  }

  /**
   * Kills all VMs and stops the platform.
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

  /** Kills the VMs when the bench itself is terminated, so that no process is left running. */
  private void killOnShutdown() {
    try {
      killAll();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
