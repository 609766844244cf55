package lab;

import java.nio.file.Path;

/** Runs one case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
final class Case {
  /** Thrown if a case cannot run. */
  static final class NotRun extends Exception {
    private static final long serialVersionUID = 1;

    NotRun(String message) {
      super(message);
    }
  }

  /** The check of a case. */
  @FunctionalInterface
  interface Check {
    /** Returns what broke the rule, or null if it held. */
    String run(Deployment deployment) throws Exception;
  }

  private Case() {}

  static void run(String[] arguments, Site site, Check check) {
    int status;
    try {
      Deployment deployment = new Deployment(Path.of(arguments[0]), site);
      try {
        String broken = check.run(deployment);
        deployment.record.line(broken == null ? "the rule held" : "BROKEN: %s", broken);
        System.out.println(broken == null ? "the rule held" : "BROKEN: " + broken);
        status = broken == null ? 0 : 1;
      } catch (Exception e) {
        deployment.record.line("the case could not run: %s", e);
        System.out.println("the case could not run: " + e);
        status = 2;
      }
    } catch (Exception e) {
      System.out.println("the case could not run: " + e);
      status = 2;
    }
    System.exit(status);
  }
}
