package org.peridotroute.platform;

import java.util.concurrent.CompletableFuture;
import org.peridotroute.lib.Directory;

/** Client of the platform's list of VMs and workers. Implementations must be thread-safe. */
public interface DirectoryClient {
  /**
   * Reads the list.
   *
   * @return a future with the list, which lags behind the actual state
   */
  CompletableFuture<Directory> read();
}
