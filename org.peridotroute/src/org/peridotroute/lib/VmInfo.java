package org.peridotroute.lib;

/**
 * An entry VM as the platform's list shows it, which lags.
 *
 * @param id the VM
 * @param place its place
 * @param leaving whether it is about to leave, and so drives no gang
 * @param url where its resource API is
 */
public record VmInfo(VmId id, PlaceId place, boolean leaving, String url) {
  /** Checks that the id is there. */
  public VmInfo {
    Checks.present("vm.id", id);
  }
}
