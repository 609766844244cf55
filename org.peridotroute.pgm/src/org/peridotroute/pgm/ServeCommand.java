package org.peridotroute.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.peridotroute.server.EntryVm;
import org.peridotroute.server.settings.Settings;

/** Runs the process on an entry VM until a signal stops it. */
@Command(name = "serve", description = "run the process on an entry VM")
public final class ServeCommand implements ConsoleCommand {
  private static final System.Logger LOGGER = System.getLogger(ServeCommand.class.getName());

  @Option(name = "--settings", description = "settings file, JSON with comments")
  @Required
  private String file;

  @Override
  public int call(Console console) throws Exception {
    Settings settings = SettingsFile.read(Path.of(file));
    EntryVm vm = new EntryVm(settings);
    vm.start();
    console.out().println("peridotroute " + settings.vmId() + " listens on " + vm.url());
    return awaitStop(vm);
  }

  /** Waits for a signal to stop, or halts the process when an invariant is broken. */
  static int awaitStop(EntryVm vm) throws InterruptedException {
    CountDownLatch stopped = new CountDownLatch(1);
    Thread stopThread =
        new Thread(
            () -> {
              vm.stop();
              stopped.countDown();
            },
            "stop");
    Runtime.getRuntime().addShutdownHook(stopThread);
    var unused =
        vm.brokenInvariant()
            .thenAccept(
                cause -> {
                  LOGGER.log(System.Logger.Level.ERROR, "broken-invariant", cause);
                  Runtime.getRuntime().halt(ExitCode.REFUSED);
                });
    stopped.await();
    return ExitCode.OK;
  }
}
