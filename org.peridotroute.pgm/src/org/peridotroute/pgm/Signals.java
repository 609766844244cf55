package org.peridotroute.pgm;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Installs handlers for signals that would otherwise terminate the JVM. Uses reflection, since the
 * compiler warns about direct use of the unsupported {@code sun.misc.Signal} and the build treats
 * warnings as errors.
 */
final class Signals {
  private static final System.Logger LOGGER = System.getLogger(Signals.class.getName());

  private Signals() {}

  /**
   * Runs an action each time a signal arrives, on a thread of the JVM.
   *
   * @param name the signal's name without the SIG prefix
   * @param action the action
   */
  static void handle(String name, Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  action.run();
                }
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
    } catch (ClassNotFoundException
        | NoSuchMethodException
        | InstantiationException
        | IllegalAccessException
        | InvocationTargetException e) {
      LOGGER.log(System.Logger.Level.WARNING, "cannot install a handler for signal SIG" + name, e);
    }
  }
}
