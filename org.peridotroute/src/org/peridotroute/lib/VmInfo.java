package org.peridotroute.lib;

/**
 * Entry of a VM in the platform's directory, which lags behind the actual state.
 *
 * @param id name of the VM
 * @param place place of the VM
 * @param leaving whether the VM is about to leave and therefore drives no gangs
 * @param url base URL of its resource API
 * @param peer address of its peer port, as HOST:PORT; null if it has none
 */
public record VmInfo(VmId id, PlaceId place, boolean leaving, String url, String peer) {
  /** Checks that the id is present. */
  public VmInfo {
    Checks.present("vm.id", id);
  }
}
