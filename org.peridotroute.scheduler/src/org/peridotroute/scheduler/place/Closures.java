package org.peridotroute.scheduler.place;

import java.util.Set;
import java.util.TreeSet;

/**
 * The data centres that operators have closed for new work, as of a time. Immutable.
 *
 * @param dataCentres names of the closed data centres
 * @param asOfMillis steady time up to which every closing and reopening is known
 */
public record Closures(Set<String> dataCentres, long asOfMillis) {
  /** Nothing is closed, and nothing has been read yet. */
  public static final Closures UNKNOWN = new Closures(Set.of(), Long.MIN_VALUE);

  /** Copies the set. */
  public Closures {
    dataCentres = Set.copyOf(dataCentres);
  }

  /** Returns whether a data centre is closed. */
  public boolean isClosed(String dataCentre) {
    return dataCentres.contains(dataCentre);
  }

  /**
   * Returns a copy in which a data centre is closed or open.
   *
   * @param dataCentre the data centre
   * @param closed whether it is closed
   */
  public Closures with(String dataCentre, boolean closed) {
    Set<String> changed = new TreeSet<>(dataCentres);
    if (closed) {
      changed.add(dataCentre);
    } else {
      changed.remove(dataCentre);
    }
    return new Closures(changed, asOfMillis);
  }

  /** Returns a copy that is current as of another time. */
  public Closures asOf(long steadyMillis) {
    return new Closures(dataCentres, steadyMillis);
  }
}
