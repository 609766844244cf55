package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;

/** Runs one entry VM and a stand-in platform in this process, for trials without a deployment. */
@Command(name = "dev", description = "run one entry VM with a stand-in platform, for trials")
public final class DevCommand implements ConsoleCommand {
  @Option(name = "--port", description = "port of the resource API; 0 for any free port")
  private int port = 7400;

  @Option(name = "--once", description = "run the example job, print its answer, and exit")
  private boolean once;

  @Override
  public int call(Console console) throws Exception {
    DevCluster cluster = DevCluster.start(port, 1);
    console.out().println("peridotroute listens on " + cluster.url(0));
    if (once) {
      return runExampleJob(console, cluster);
    }
    console.out().println("next: bin/peridotctl apply -f examples/dev");
    console.out().println("then: bin/peridotctl submit le-goff/sheet-1 --members 16 --wait");
    return ServeCommand.awaitStop(cluster.vm(0));
  }

  private static String examplesPath() {
    return Path.of(System.getProperty("peridotroute.home", "."), "examples", "dev").toString();
  }

  private static int runExampleJob(Console console, DevCluster cluster) {
    String url = cluster.url(0);
    int applyExitCode = PeridotctlMain.run(console, "apply", "--url", url, "-f", examplesPath());
    if (applyExitCode != ExitCode.OK) {
      return applyExitCode;
    }
    int submitExitCode =
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
    return submitExitCode;
  }
}
