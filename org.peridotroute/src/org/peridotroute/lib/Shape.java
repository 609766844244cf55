package org.peridotroute.lib;

import java.util.Locale;

/**
 * Shape of a gang: the number of members, the accelerators of each and their adjacency.
 *
 * @param members number of members; 1 to {@value #MAX_MEMBERS}
 * @param acceleratorsPerMember accelerators of each member, all on the same worker; 1 to {@value
 *     #MAX_ACCELERATORS_PER_MEMBER}
 * @param adjacency placement constraint on the members; defaults to the same rack
 */
public record Shape(int members, int acceleratorsPerMember, Adjacency adjacency) {
  /** Maximum number of members of a gang. */
  public static final int MAX_MEMBERS = 128;

  /** Maximum number of accelerators per member. */
  public static final int MAX_ACCELERATORS_PER_MEMBER = 16;

  /** Validates the ranges and applies the default adjacency. */
  public Shape {
    Checks.range("shape.members", members, 1, MAX_MEMBERS);
    Checks.range(
        "shape.acceleratorsPerMember", acceleratorsPerMember, 1, MAX_ACCELERATORS_PER_MEMBER);
    adjacency = adjacency == null ? Adjacency.RACK : adjacency;
  }

  /** Returns the total number of accelerators of the gang. */
  public int accelerators() {
    return members * acceleratorsPerMember;
  }

  @Override
  public String toString() {
    return members + "x" + acceleratorsPerMember + "/" + adjacency.name().toLowerCase(Locale.ROOT);
  }
}
