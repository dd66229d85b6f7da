package org.snowwind.gateway.peer;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowwind.model.EraRevision;
import org.snowwind.model.ManualClock;
import org.snowwind.store.Freshness;
import org.snowwind.wire.generated.CopyClaim;
import org.snowwind.wire.generated.ExchangeStamp;
import org.snowwind.wire.generated.GatewayReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StoreClaims} of two gateways whose clocks have different origins.
 */
class StoreClaimsTests {

	private static final String PREFIX = "kind/";

	private final Gateway one = new Gateway("one:1", 11, 1000);

	private final Gateway other = new Gateway("other:1", 22, 500_000);

	@BeforeEach
	void confirmBothByStore() {
		this.one.answeredByStore();
		this.other.answeredByStore();
	}

	private void pass(long millis) {
		this.one.clock.advance(millis);
		this.other.clock.advance(millis);
	}

	@Test
	void answerConfirmsAsOfTimeOfCall() {
		pass(2000);
		this.one.answeredByStore();
		long sentMillis = this.other.clock.nowMillis();
		pass(700);
		GatewayReport answer = this.one.report();
		pass(40);
		this.other.claims.acceptAnswer("one:1", answer, sentMillis, this.other.clock.nowMillis());
		assertThat(this.other.freshness.unconfirmedMillis()).as("the claim was 700 ms old").isEqualTo(1440);
	}

	@Test
	void callConfirmsIfStampShowsWhenItWasComposed() {
		GatewayReport answer = this.other.report();
		this.one.claims.acceptAnswer("other:1", answer, this.one.clock.nowMillis(), this.one.clock.nowMillis());
		pass(5000);
		this.one.answeredByStore();
		GatewayReport report = this.one.report();
		ExchangeStamp stamp = this.one.claims.stamp("other:1", report);
		pass(30);
		this.other.claims.acceptCall(report, stamp);
		assertThat(this.other.freshness.unconfirmedMillis()).isEqualTo(30);
	}

	@Test
	void delayedCallConfirmsAsOfItsComposition() {
		this.one.claims.acceptAnswer("other:1", this.other.report(), 0, this.one.clock.nowMillis());
		this.one.answeredByStore();
		GatewayReport report = this.one.report();
		ExchangeStamp stamp = this.one.claims.stamp("other:1", report);
		pass(6000);
		this.other.claims.acceptCall(report, stamp);
		assertThat(this.other.freshness.unconfirmedMillis()).isEqualTo(6000);
	}

	@Test
	void callWithStampOfEarlierIncarnationDoesNotConfirm() {
		GatewayReport earlier = this.other.report().setIncarnation(21);
		this.one.claims.acceptAnswer("other:1", earlier, 0, this.one.clock.nowMillis());
		pass(100);
		this.one.answeredByStore();
		GatewayReport report = this.one.report();
		this.other.claims.acceptCall(report, this.one.claims.stamp("other:1", report));
		assertThat(this.other.freshness.unconfirmedMillis()).isEqualTo(100);
	}

	@Test
	void firstCallReportsChangesButDoesNotConfirm() {
		pass(100);
		this.one.answeredByStore();
		GatewayReport report = this.one.report();
		report.setClaims(List.of(new CopyClaim(PREFIX, 9, 9, 0)));
		this.other.claims.acceptCall(report, this.one.claims.stamp("other:1", report));
		assertThat(this.other.freshness.isBehind()).isTrue();
		assertThat(this.other.freshness.unconfirmedMillis()).isEqualTo(100);
	}

	@Test
	void missingClaimsAndClaimsOfUnknownPrefixAreIgnored() {
		pass(100);
		GatewayReport report = this.one.report();
		report.setClaims(List.of(new CopyClaim("other/", 9, 9, 0)));
		this.other.claims.acceptCall(report, null);
		report.unsetClaims();
		this.other.claims.acceptAnswer("one:1", report, this.other.clock.nowMillis(), this.other.clock.nowMillis());
		assertThat(this.other.freshness.unconfirmedMillis()).isEqualTo(100);
		assertThat(this.other.freshness.isBehind()).isFalse();
	}

	@Test
	void claimsWithNegativeRevisionsAreIgnored() {
		pass(100);
		GatewayReport report = this.one.report();
		report.setClaims(List.of(new CopyClaim(PREFIX, -7, -7, 0), new CopyClaim(PREFIX, -7, 7, 0),
				new CopyClaim(PREFIX, 7, Long.MIN_VALUE, 0)));
		this.other.claims.acceptAnswer("one:1", report, this.other.clock.nowMillis(), this.other.clock.nowMillis());
		assertThat(this.other.freshness.unconfirmedMillis()).isEqualTo(100);
		assertThat(this.other.freshness.isBehind()).isFalse();
	}

	@Test
	void gatewayWithoutStoreAnswerDoesNotConfirm() {
		pass(5000);
		Gateway started = new Gateway("started:1", 33, 0);
		pass(100);
		this.other.claims.acceptAnswer("started:1", started.report(), this.other.clock.nowMillis(),
				this.other.clock.nowMillis());
		assertThat(this.other.freshness.unconfirmedMillis()).isEqualTo(5100);
	}

	@Test
	void removedPeersAreForgotten() {
		this.one.claims.acceptAnswer("other:1", this.other.report(), 0, this.one.clock.nowMillis());
		this.one.claims.retain(Set.of());
		assertThat(this.one.claims.stamp("other:1", this.one.report())).isEqualTo(new ExchangeStamp(0, 0, 0));
	}

	/**
	 * A gateway with its own clock.
	 */
	private static final class Gateway {

		private final ManualClock clock;

		private final Freshness freshness;

		private final StoreClaims claims;

		private final String address;

		private final long incarnation;

		private Gateway(String address, long incarnation, long originMillis) {
			this.address = address;
			this.incarnation = incarnation;
			this.clock = new ManualClock(originMillis);
			this.freshness = new Freshness(this.clock);
			this.claims = new StoreClaims(Map.of(PREFIX, this.freshness), incarnation, this.clock);
		}

		private void answeredByStore() {
			this.freshness.answered(this.clock.nowMillis(), EraRevision.ofLong(1), EraRevision.ofLong(1),
					EraRevision.ofLong(1));
		}

		private GatewayReport report() {
			GatewayReport report = new GatewayReport(this.address, this.incarnation, this.address, false, 0, 0,
					Map.of(), List.of(), 0);
			this.claims.addClaims(report);
			return report;
		}

	}

}
