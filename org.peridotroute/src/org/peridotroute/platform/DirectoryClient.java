package org.peridotroute.platform;

import java.util.concurrent.CompletableFuture;
import org.peridotroute.lib.Directory;

/** Client of the platform's directory of VMs and workers. Implementations must be thread-safe. */
public interface DirectoryClient {
  /**
   * Reads the directory.
   *
   * @return a future with the directory, which lags behind the actual state
   */
  CompletableFuture<Directory> read();
}
