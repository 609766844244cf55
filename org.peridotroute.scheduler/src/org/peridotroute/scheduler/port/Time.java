package org.peridotroute.scheduler.port;

/** Clocks. Thread-safe. */
public interface Time {
  /** The clocks of the VM that the process runs on. */
  Time SYSTEM =
      new Time() {
        private static final long NANOS_PER_MILLI = 1_000_000;

        @Override
        public long steadyMillis() {
          return System.nanoTime() / NANOS_PER_MILLI;
        }

        @Override
        public long wallMillis() {
          return System.currentTimeMillis();
        }
      };

  /**
   * Returns a monotonic time in milliseconds, for durations. It may stand still while the VM is
   * suspended.
   */
  long steadyMillis();

  /** Returns the time of day in milliseconds since 1970. It may jump. */
  long wallMillis();
}
