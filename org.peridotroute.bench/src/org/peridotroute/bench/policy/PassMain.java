package org.peridotroute.bench.policy;

import java.util.Arrays;
import java.util.List;
import org.peridotroute.bench.Arguments;
import org.peridotroute.bench.Figures;

/**
 * Measures passes of the policy over a backlog on a full cluster at three sizes: {@code pass --seed
 * N --waiting N --passes N}.
 */
public final class PassMain {
  private static final List<Integer> WORKERS = List.of(30, 275, 1_100);
  private static final int WARM_UP_PASSES = 30;

  private PassMain() {}

  /**
   * Runs the bench.
   *
   * @param arguments the options listed at the class
   */
  public static void main(String[] arguments) {
    Arguments options = new Arguments(List.of(arguments));
    Figures figures = new Figures(System.out);
    int waiting = (int) options.number("--waiting", 10_000);
    int passes = (int) options.number("--passes", 50);
    for (int workers : WORKERS) {
      Workload workload =
          Workload.backlog(options.number("--seed", 1), workers, waiting + workers * 8);
      double[] millis = new Backlog(workload).measurePasses(WARM_UP_PASSES, passes);
      Arrays.sort(millis);
      String name = "pass." + waiting + "_waiting@" + workers;
      figures.print(name + ".p50", millis[passes / 2], "ms", "50", "");
      figures.print(name + ".max", millis[passes - 1], "ms");
    }
  }
}
