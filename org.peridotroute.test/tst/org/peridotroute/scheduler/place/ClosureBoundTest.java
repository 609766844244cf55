package org.peridotroute.scheduler.place;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against starts on closures that are too old, and outside the allowed regions. */
final class ClosureBoundTest {
  private static final long NOW = 100_000;

  @Test
  void withholdsStartsOnceAClosingMayHaveBeenMissedForTooLong() {
    ClosureBound bound = new ClosureBound(5_000);
    assertThat(bound.permitsStarts(new Closures(Set.of(), NOW - 3_500), NOW)).isTrue();
    assertThat(bound.permitsStarts(new Closures(Set.of(), NOW - 3_501), NOW)).isFalse();
    assertThat(bound.permitsStarts(Closures.UNKNOWN, NOW)).isFalse();
  }

  @Test
  void changesNothingWhereDataCentresAreNeverClosed() {
    assertThat(new ClosureBound(0).permitsStarts(Closures.UNKNOWN, NOW)).isTrue();
  }

  @Test
  void closesAndOpensOneDataCentreOfSeveral() {
    Closures both = Closures.UNKNOWN.with("a", true).with("b", true);
    assertThat(both.with("a", false).dataCentres()).containsExactly("b");
    assertThat(both.isClosed("a")).isTrue();
  }

  @Test
  void jobsMustHaveARegionThatQueueAndOrganisationBothAllow() {
    assertThat(AllowedRegions.combine(List.of(), List.of())).isEqualTo(Optional.of(List.of()));
    assertThat(AllowedRegions.combine(List.of("n"), List.of()))
        .isEqualTo(Optional.of(List.of("n")));
    assertThat(AllowedRegions.combine(List.of("n", "s"), List.of("s")))
        .isEqualTo(Optional.of(List.of("s")));
    assertThat(AllowedRegions.combine(List.of("n"), List.of("s"))).isEqualTo(Optional.empty());
    assertThat(AllowedRegions.permit(List.of("n"), "a", Map.of("a", "s"))).isFalse();
  }
}
