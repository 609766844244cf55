package org.peridotroute.pgm;

import java.util.ArrayList;
import java.util.List;
import org.peridotroute.lib.PlaceId;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.VmInfo;
import org.peridotroute.server.EntryVm;
import org.peridotroute.server.settings.SettingsException;
import org.peridotroute.server.settings.SettingsReader;
import org.peridotroute.standin.PlatformStandIn;

/** A stand-in platform and entry VMs in one process. Started by {@link #start} and stopped once. */
public final class DevCluster {
  private static final String SETTINGS =
      """
      {
        "vm": {"id": "%s", "place": "quimper"},
        "api": {"port": %d, "leaveMillis": 0, "drainMillis": 2000},
        "platform": {"url": "%s", "listMillis": 200},
        "peer": {"port": 0},
        "planner": {"renewMillis": 500, "timeoutMillis": 2000},
        "gang": {"renewMillis": 300, "retryMillis": 200}
      }
      """;

  private static final long READY_POLL_MILLIS = 20;

  private final PlatformStandIn platform;
  private final List<EntryVm> vms = new ArrayList<>();

  private DevCluster(PlatformStandIn platform) {
    this.platform = platform;
  }

  /**
   * Starts a cluster and waits until all VMs are ready.
   *
   * @param firstPort port of the first VM's resource API, with the following VMs on the next ports;
   *     or 0 for any free ports
   * @param vmCount number of VMs
   * @return the cluster
   * @throws SettingsException if the port is out of range
   * @throws InterruptedException if interrupted while waiting
   */
  public static DevCluster start(int firstPort, int vmCount)
      throws SettingsException, InterruptedException {
    PlatformStandIn platform = PlatformStandIn.newBuilder(0).build();
    platform.start();
    DevCluster cluster = new DevCluster(platform);
    for (int i = 0; i < vmCount; i++) {
      cluster.addVm("vm-" + (i + 1), firstPort == 0 ? 0 : firstPort + i);
    }
    for (EntryVm vm : cluster.vms) {
      while (!vm.health().notReadyReasons().isEmpty()) {
        Thread.sleep(READY_POLL_MILLIS);
      }
    }
    return cluster;
  }

  /**
   * Returns a VM.
   *
   * @param index the VM's index, from 0
   * @return the VM
   */
  public EntryVm vm(int index) {
    return vms.get(index);
  }

  /**
   * Returns the URL of a VM's resource API.
   *
   * @param index the VM's index, from 0
   * @return the URL
   */
  public String url(int index) {
    return vms.get(index).url();
  }

  /** Returns the stand-in platform. */
  public PlatformStandIn platform() {
    return platform;
  }

  /** Stops the VMs, then the platform. */
  public void stop() {
    vms.forEach(EntryVm::stop);
    platform.stop();
  }

  private void addVm(String id, int port) throws SettingsException {
    String text = SETTINGS.formatted(id, port, platform.url());
    EntryVm vm = new EntryVm(SettingsReader.parse("dev settings", text));
    vm.start();
    vms.add(vm);
    platform.addVm(
        new VmInfo(new VmId(id), new PlaceId("quimper"), false, vm.url(), vm.peerAddress()));
  }
}
