package org.peridotroute.pgm;

import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.peridotroute.fold.JobPhase;
import org.peridotroute.lib.JobKey;

/** Runs complete peridotctl sessions and compares their transcripts with approved files. */
final class GoldenSessionTest {
  private static final long POLL_MILLIS = 10;

  @TempDir Path folder;
  private DevCluster cluster;
  private CtlSession session;

  @BeforeEach
  void startCluster() throws Exception {
    cluster = DevCluster.start(0, 3);
    session = new CtlSession(cluster.url(0));
  }

  @AfterEach
  void stopCluster() {
    cluster.stop();
  }

  @Test
  void wholeSession() throws Exception {
    Path manifest = writeManifest("organisations.json", 1);
    Path changed = writeManifest("changed.json", 2);
    session
        .run("diff", "-f", manifest.toString())
        .run("apply", "-f", manifest.toString())
        .run("apply", "-f", manifest.toString())
        .run("diff", "-f", changed.toString())
        .run("list", "organisations")
        .run("list", "racks")
        .run("submit", "le-goff/sheet-1", "--members", "16", "--payload", "echo=proof")
        .run("submit", "le-goff/sheet-1", "--members", "16", "--payload", "echo=proof")
        .run("submit", "le-goff/sheet-1", "--members", "8", "--payload", "echo=proof")
        .note("watched at the second VM, answered by the third")
        .runAt(cluster.url(1), "watch", "--from", "0", "--job", "le-goff/sheet-1")
        .runUnrecordedAt(cluster.url(2), "watch", "--from", "0", "--job", "le-goff/sheet-1")
        .runAt(cluster.url(2), "answer", "le-goff/sheet-1")
        .run("cancel", "le-goff/sheet-1")
        .run("submit", "le-goff/long", "--members", "8", "--payload", "run=600000")
        .run("answer", "honesty-till/none");
    awaitRunning("le-goff", "long");
    session.run("cancel", "le-goff/long").run("watch", "--from", "0", "--job", "le-goff/long");
    verify();
  }

  @Test
  void refusals() throws Exception {
    Path manifest = writeManifest("organisations.json", 1);
    Path broken = Files.writeString(folder.resolve("broken.json"), "{\"organisations\": [");
    Path stale =
        Files.writeString(
            folder.resolve("stale.json"),
            "{\"organisations\":[{\"name\":\"le-goff\",\"revision\":7,\"spec\":{}}]}");
    session
        .run("apply", "-f", manifest.toString())
        .run("apply", "-f", broken.toString())
        .run("apply", "-f", stale.toString())
        .run("submit", "nobody/job", "--members", "1")
        .run("submit", "le-goff/Job", "--members", "1")
        .run("submit", "le-goff/huge", "--members", "128", "--accelerators", "8")
        .run("submit", "le-goff/wide", "--members", "129")
        .run("submit", "le-goff/unsafe", "--members", "32", "--accelerators", "1")
        .run("submit", "le-goff/big", "--payload", "x".repeat(40_000))
        .run("get", "le-goff/missing")
        .run("cancel", "le-goff/missing")
        .note("the process goes on")
        .run("submit", "le-goff/after", "--members", "1", "--payload", "echo=fine", "--wait");
    verify();
  }

  private void awaitRunning(String organisation, String name) throws InterruptedException {
    JobKey key = JobKey.of(organisation, name);
    while (cluster.vm(0).dump().jobs().stream()
        .noneMatch(job -> job.key().equals(key) && job.phase() == JobPhase.RUNNING)) {
      Thread.sleep(POLL_MILLIS);
    }
  }

  private Path writeManifest(String name, int count) throws Exception {
    String text =
        """
        // A comment.
        {"organisations": [
          {"name": "le-goff", "spec": {"guarantees": [
            {"shape": {"members": 16, "acceleratorsPerMember": 1}, "count": %d}]}},
          {"name": "honesty-till", "spec": {"description": "audits"}},
        ]}
        """;
    return Files.writeString(folder.resolve(name), text.formatted(count));
  }

  private void verify() {
    String text =
        session
            .transcript()
            .replace(folder.toString(), "FOLDER")
            .replaceAll("x{1000,}", "(40,000 bytes)");
    Approvals.verify(text);
  }
}
