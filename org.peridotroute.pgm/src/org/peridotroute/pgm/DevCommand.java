package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;

/** Runs one process with a stand-in platform, so that the main job can be tried at once. */
@Command(name = "dev", description = "run one process with a stand-in platform, for trials")
public final class DevCommand implements ConsoleCommand {
  @Option(name = "--port", description = "port of the resource API; 0 for any free one")
  private int port = 7400;

  @Option(name = "--once", description = "run the main job, print its answer, and end")
  private boolean once;

  @Override
  public int call(Console console) throws Exception {
    DevCluster cluster = DevCluster.start(port, 1);
    console.out().println("peridotroute listens on " + cluster.url(0));
    if (once) {
      return runMainJob(console, cluster);
    }
    console.out().println("next: bin/peridotctl apply -f examples/dev");
    console.out().println("then: bin/peridotctl submit le-goff/sheet-1 --members 16 --wait");
    return ServeCommand.awaitStop(cluster.vm(0));
  }

  private static String examples() {
    return Path.of(System.getProperty("peridotroute.home", "."), "examples", "dev").toString();
  }

  private static int runMainJob(Console console, DevCluster cluster) {
    String url = cluster.url(0);
    int applied = PeridotctlMain.run(console, "apply", "--url", url, "-f", examples());
    if (applied != ExitCode.OK) {
      return applied;
    }
    int ran =
        PeridotctlMain.run(
            console,
            "submit",
            "--url",
            url,
            "le-goff/sheet-1",
            "--members",
            "16",
            "--payload",
            "run=300 echo=proof",
            "--wait");
    cluster.stop();
    return ran;
  }
}
