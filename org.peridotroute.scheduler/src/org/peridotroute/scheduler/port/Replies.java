package org.peridotroute.scheduler.port;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Brings answers to the control thread. Stateless. */
public final class Replies {
  private Replies() {}

  /**
   * Takes an answer in on the control thread, where a fault reaches whoever stops the process.
   *
   * @param answer completes with the answer; must not fail
   * @param control the control thread
   * @param taker takes the answer
   * @param <T> kind of answer
   */
  public static <T> void deliver(CompletableFuture<T> answer, Executor control, Consumer<T> taker) {
    var unused =
        answer.whenComplete(
            (value, failure) ->
                control.execute(
                    () -> {
                      if (failure != null) {
                        throw new IllegalStateException("a port's answer failed", failure);
                      }
                      taker.accept(value);
                    }));
  }
}
