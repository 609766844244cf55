package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.peridotroute.lib.PlaceId;
import org.peridotroute.lib.VmId;
import org.peridotroute.lib.VmInfo;
import org.peridotroute.standin.PlatformStandIn;

/** Runs the stand-in platform, for trials of several processes that share one log. */
@Command(name = "platform", description = "run a stand-in for the platform, for trials")
public final class PlatformCommand implements ConsoleCommand {
  @Option(name = "--port", description = "port to listen on")
  private int port = 7300;

  @Option(name = "--racks", description = "number of racks")
  private int racks = 2;

  @Option(name = "--workers", description = "number of workers in each rack")
  private int workers = 4;

  @Option(name = "--vm", description = "a VM to probe, as NAME=PLACE=URL=PEER; may be repeated")
  private List<String> vms = new ArrayList<>();

  @Override
  public int call(Console console) throws Exception {
    List<VmInfo> infos = new ArrayList<>();
    for (String vm : vms) {
      infos.add(parseVm(vm));
    }
    PlatformStandIn platform =
        PlatformStandIn.newBuilder(port)
            .setRacks(racks)
            .setWorkersPerRack(workers)
            .setVms(infos)
            .build();
    platform.start();
    console.out().println("stand-in platform listens on " + platform.url());
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(platform::stop, "stop"));
    stopped.await();
    return ExitCode.OK;
  }

  private static VmInfo parseVm(String text) throws CommandException {
    String[] parts = text.split("=", 4);
    if (parts.length != 4) {
      throw new CommandException(
          ExitCode.USAGE, "--vm is \"" + text + "\"; expected NAME=PLACE=URL=PEER");
    }
    return new VmInfo(new VmId(parts[0]), new PlaceId(parts[1]), false, parts[2], parts[3]);
  }
}
