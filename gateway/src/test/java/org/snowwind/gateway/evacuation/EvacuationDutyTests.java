package org.snowwind.gateway.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.snowwind.gateway.peer.ConfirmationRank;
import org.snowwind.model.ManualClock;
import org.snowwind.wire.generated.CopyClaim;
import org.snowwind.wire.generated.EvacuationNews;
import org.snowwind.wire.generated.GatewayReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EvacuationDuty} without a store.
 */
class EvacuationDutyTests {

	private static final long BOUND_MILLIS = 4000;

	private final ManualClock clock = new ManualClock(0);

	private final List<Set<String>> told = new ArrayList<>();

	private EvacuationDuty duty(long boundMillis) {
		return new EvacuationDuty("own", new EvacuationDuty.StoreAccess(null, new NoDocuments()),
				new EvacuationDuty.Timing(boundMillis, 15_000, new ConfirmationRank("own", Set::of)), this.told::add,
				this.clock, new Random(1));
	}

	private static GatewayReport report(EvacuationNews... news) {
		return new GatewayReport().setName("peer").setEvacuations(List.of(news));
	}

	@Test
	void reportOfAPeerIsAppliedAndPassedOn() {
		EvacuationDuty duty = duty(BOUND_MILLIS);
		duty.applyReport(report(new EvacuationNews("a", 4, false)));
		assertThat(this.told).containsExactly(Set.of("a"));
		GatewayReport own = new GatewayReport();
		duty.addNews(own);
		assertThat(own.getEvacuations()).containsExactly(new EvacuationNews("a", 4, false));
		this.clock.advance(1200);
		assertThat(duty.describe(Set.of("peer"))).contains("\"gateway\":\"own\"", "\"gateway\":\"peer\"",
				"\"sinceMillis\":1200");
		assertThat(duty.describe(Set.of())).as("peers that do not live").doesNotContain("\"peer\"");
	}

	@Test
	void processIsNotReadyBeforeItKnowsTheEvacuations() {
		EvacuationDuty duty = duty(BOUND_MILLIS);
		duty.applyReport(report());
		assertThat(duty.isKnown()).as("a peer that has no listing").isFalse();
		duty.applyReport(report().setClaims(List.of(new CopyClaim("e/", 0, 4, 10))));
		assertThat(duty.isKnown()).isTrue();
	}

	@Test
	void processThatHearsNeitherStoreNorPeersIsReadyAfterTheBound() {
		EvacuationDuty duty = duty(BOUND_MILLIS);
		this.clock.advance(BOUND_MILLIS);
		assertThat(duty.isKnown()).isTrue();
	}

	@Test
	void nothingIsAppliedOrToldWithoutTheFeature() {
		EvacuationDuty duty = duty(0);
		duty.applyReport(report(new EvacuationNews("a", 4, false)));
		GatewayReport own = new GatewayReport();
		duty.addNews(own);
		assertThat(this.told).isEmpty();
		assertThat(own.isSetEvacuations()).isFalse();
		assertThat(duty.freshness()).isEmpty();
		assertThat(duty.pages(Set::of)).isEqualTo(Map.of());
		assertThat(duty.isKnown()).isTrue();
	}

	/**
	 * Accepts every object.
	 */
	private static final class NoDocuments implements EvacuationDecoder {

		@Override
		public String prefix() {
			return "e/";
		}

		@Override
		public List<String> decode(String dataCentre, JsonNode document) {
			return List.of();
		}

	}

}
