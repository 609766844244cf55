package org.peridotroute.adapter;

import java.util.concurrent.atomic.AtomicReference;

/** Runs actions on a thread with the stack of a thread of an entry VM. */
final class SmallStack {
  /** Size of a stack, as the deploy file sets it. */
  private static final long STACK_BYTES = 256 * 1024;

  private SmallStack() {}

  /** Runs an action and fails if it throws anything. */
  static void run(Runnable action) {
    AtomicReference<Throwable> failure = new AtomicReference<>();
    Thread thread = new Thread(null, action, "small-stack", STACK_BYTES);
    thread.setUncaughtExceptionHandler((unused, thrown) -> failure.set(thrown));
    thread.start();
    try {
      thread.join();
    } catch (InterruptedException e) {
      throw new AssertionError("interrupted while the action ran", e);
    }
    if (failure.get() != null) {
      throw new AssertionError("thrown to the caller: " + failure.get(), failure.get());
    }
  }
}
