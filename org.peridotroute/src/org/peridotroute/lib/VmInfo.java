package org.peridotroute.lib;

/**
 * An entry VM as the platform's list shows it, which lags.
 *
 * @param id the VM
 * @param place its place
 * @param leaving whether it is about to leave, and so drives no gang
 * @param url where its resource API is
 * @param peer where its peer port is, as HOST:PORT; null where it has none
 */
public record VmInfo(VmId id, PlaceId place, boolean leaving, String url, String peer) {
  /** Checks that the id is there. */
  public VmInfo {
    Checks.present("vm.id", id);
  }
}
