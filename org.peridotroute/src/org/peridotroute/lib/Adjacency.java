package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How near to each other the members of a gang must be. */
public enum Adjacency {
  /** All members on one worker. */
  @JsonProperty("worker")
  WORKER,
  /** All members in one rack. */
  @JsonProperty("rack")
  RACK,
  /** All members in one place. */
  @JsonProperty("place")
  PLACE
}
