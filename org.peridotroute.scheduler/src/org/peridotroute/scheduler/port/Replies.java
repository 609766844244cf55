package org.peridotroute.scheduler.port;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Delivers replies to the control thread. Stateless. */
public final class Replies {
  private Replies() {}

  /**
   * Passes a reply to a handler on the control thread. An exception is thrown on that thread too,
   * so that its handler there can stop the process.
   *
   * @param reply completes with the reply; must not complete exceptionally
   * @param control executor of the control thread
   * @param handler receives the reply
   * @param <T> type of the reply
   */
  public static <T> void deliver(
      CompletableFuture<T> reply, Executor control, Consumer<T> handler) {
    var unused =
        reply.whenComplete(
            (value, failure) ->
                control.execute(
                    () -> {
                      if (failure != null) {
                        throw new IllegalStateException(
                            "a port completed a reply exceptionally", failure);
                      }
                      handler.accept(value);
                    }));
  }
}
