package org.peridotroute.adapter;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotroute.scheduler.model.Feature;

/** Guards against features that act where no contract calls for them. */
final class ContractFeaturesTest {
  @Test
  void otherContractsSwitchNothingOn() {
    assertThat(ContractFeatures.of(List.of("base", "drain", "sched", "unknown"))).isEmpty();
  }

  @Test
  void competingCallersGetOrderAdmissionAndPreemption() {
    assertThat(ContractFeatures.of(List.of("places")))
        .containsExactly(Feature.CALLER_COST, Feature.ADMISSION, Feature.STOP_HISTORY);
  }
}
