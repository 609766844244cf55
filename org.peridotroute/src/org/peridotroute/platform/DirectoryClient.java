package org.peridotroute.platform;

import java.util.concurrent.CompletableFuture;
import org.peridotroute.lib.Directory;

/** The platform's list of machines. Implementations are safe for use by several threads. */
public interface DirectoryClient {
  /**
   * Reads the list.
   *
   * @return completes with the list, which lags
   */
  CompletableFuture<Directory> read();
}
