package org.peridotroute.lib;

import java.util.Locale;

/**
 * Shape of a gang: members, accelerators of each, and how near the members must be.
 *
 * @param members 1 to {@value #MAX_MEMBERS}
 * @param acceleratorsPerMember 1 to {@value #MAX_ACCELERATORS_PER_MEMBER}, all on one worker
 * @param adjacency how near the members must be; a rack where absent
 */
public record Shape(int members, int acceleratorsPerMember, Adjacency adjacency) {
  /** Most members of a gang. */
  public static final int MAX_MEMBERS = 128;

  /** Most accelerators of one member. */
  public static final int MAX_ACCELERATORS_PER_MEMBER = 16;

  /** Checks the ranges. */
  public Shape {
    Checks.range("shape.members", members, 1, MAX_MEMBERS);
    Checks.range(
        "shape.acceleratorsPerMember", acceleratorsPerMember, 1, MAX_ACCELERATORS_PER_MEMBER);
    adjacency = adjacency == null ? Adjacency.RACK : adjacency;
  }

  /** Returns the accelerators of all members together. */
  public int accelerators() {
    return members * acceleratorsPerMember;
  }

  @Override
  public String toString() {
    return members + "x" + acceleratorsPerMember + "/" + adjacency.name().toLowerCase(Locale.ROOT);
  }
}
