package org.peridotroute.scheduler.conduct;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against a planner that stops on, or misreads, the stored conduct of a worker. */
final class SavedConductTest {
  @Test
  void readsWhatItHasWritten() {
    SavedConduct saved = new SavedConduct(3, 1_764_000_000_000L);
    assertThat(SavedConduct.read(saved.toText())).isEqualTo(Optional.of(saved));
    assertThat(SavedConduct.read(SavedConduct.NONE.toText()))
        .isEqualTo(Optional.of(SavedConduct.NONE));
  }

  @Test
  void reportsMalformedText() {
    for (String text : new String[] {"3", "@", "a@1", "1@b", "3@"}) {
      assertThat(SavedConduct.read(text)).isEqualTo(Optional.empty());
    }
  }
}
