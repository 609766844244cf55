package org.peridotroute.lib;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Placement constraint on the members of a gang. */
public enum Adjacency {
  /** All members must be on the same worker. */
  @JsonProperty("worker")
  WORKER,
  /** All members must be in the same rack. */
  @JsonProperty("rack")
  RACK,
  /** All members must be in the same place. */
  @JsonProperty("place")
  PLACE
}
