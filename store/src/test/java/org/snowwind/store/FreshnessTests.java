package org.snowwind.store;

import org.junit.jupiter.api.Test;
import org.snowwind.model.EraRevision;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Freshness}.
 */
class FreshnessTests {

	private final ManualClock clock = new ManualClock(1000);

	private final Freshness freshness = new Freshness(this.clock);

	private static EraRevision revision(long number) {
		return EraRevision.ofLong(number);
	}

	@Test
	void aCopyThatWasNeverConfirmedIsOlderThanAnyBound() {
		this.clock.advance(300);
		assertThat(this.freshness.unconfirmedMillis()).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void aClaimOfAnyAgeConfirmsNoLaterMoment() {
		Freshness young = new Freshness(new ManualClock(-5));
		young.answered(-100, revision(7), revision(7), revision(7));
		young.claimed(new Freshness.Claim(revision(7), revision(7), Long.MAX_VALUE), "peer", -10);
		assertThat(young.unconfirmedMillis()).isEqualTo(95);
	}

	@Test
	void anAnswerConfirmsAsOfTheMomentOfItsCall() {
		this.clock.advance(5000);
		this.freshness.answered(2000, revision(1), revision(1), revision(1));
		assertThat(this.freshness.unconfirmedMillis()).isEqualTo(4000);
	}

	@Test
	void anAnswerToAnEarlierCallDoesNotMakeACopyOlder() {
		this.clock.advance(5000);
		this.freshness.answered(5500, revision(1), revision(1), revision(1));
		this.freshness.answered(2000, revision(1), revision(1), revision(1));
		assertThat(this.freshness.unconfirmedMillis()).isEqualTo(500);
	}

	@Test
	void aPeersClaimConfirmsNoLaterThanThePeerCouldMakeIt() {
		this.freshness.answered(1000, revision(7), revision(7), revision(7));
		this.clock.advance(5000);
		this.freshness.claimed(new Freshness.Claim(revision(7), revision(7), 300), "peer", 5000);
		assertThat(this.freshness.unconfirmedMillis()).isEqualTo(1300);
	}

	@Test
	void aClaimOfUnknownAgeConfirmsNothing() {
		this.freshness.answered(1000, revision(7), revision(7), revision(7));
		this.clock.advance(5000);
		this.freshness.claimed(new Freshness.Claim(revision(7), revision(7), 0), "peer", Long.MIN_VALUE);
		assertThat(this.freshness.unconfirmedMillis()).isEqualTo(5000);
	}

	@Test
	void aClaimFromTheFutureOrOfNegativeValuesSaysNothing() {
		this.freshness.answered(1000, revision(7), revision(7), revision(7));
		this.clock.advance(5000);
		this.freshness.claimed(new Freshness.Claim(revision(7), revision(7), 0), "peer", 6001);
		this.freshness.claimed(new Freshness.Claim(revision(7), revision(7), -1), "peer", 6000);
		assertThat(this.freshness.unconfirmedMillis()).isEqualTo(5000);
	}

	@Test
	void claimOfAnotherEraDoesNotConfirmACopy() {
		this.freshness.answered(1000, new EraRevision(1, 75), new EraRevision(1, 75), new EraRevision(1, 75));
		this.clock.advance(5000);
		this.freshness.claimed(new Freshness.Claim(new EraRevision(2, 64), new EraRevision(2, 64), 0), "peer", 6000);
		assertThat(this.freshness.unconfirmedMillis()).isEqualTo(5000);
		assertThat(this.freshness.isBehind()).isTrue();
	}

	@Test
	void peerThatHasNotSeenTheNewEraIsNotAhead() {
		this.freshness.answered(1000, new EraRevision(1, 70), new EraRevision(1, 70), new EraRevision(1, 70));
		this.freshness.answered(2000, new EraRevision(2, 64), new EraRevision(2, 64), new EraRevision(2, 64));
		this.clock.advance(5000);
		this.freshness.claimed(new Freshness.Claim(new EraRevision(1, 75), new EraRevision(1, 75), 0), "peer", 6000);
		assertThat(this.freshness.isBehind()).isFalse();
		assertThat(this.freshness.unconfirmedMillis()).isEqualTo(4000);
	}

	@Test
	void aClaimOfAChangeThatTheCopyLacksConfirmsNothing() {
		this.freshness.answered(1000, revision(7), revision(7), revision(7));
		this.clock.advance(5000);
		this.freshness.claimed(new Freshness.Claim(revision(8), revision(8), 0), "peer", 6000);
		assertThat(this.freshness.unconfirmedMillis()).isEqualTo(5000);
		assertThat(this.freshness.isBehind()).isTrue();
		this.clock.advance(100);
		assertThat(this.freshness.behindMillis()).isEqualTo(100);
		this.freshness.answered(6050, revision(8), revision(8), revision(8));
		assertThat(this.freshness.isBehind()).isFalse();
	}

	@Test
	void aPeerIsNotBelievedThatTellsOfAChangeWhichTheStoreDenies() {
		this.freshness.answered(1000, revision(7), revision(7), revision(7));
		this.freshness.claimed(
				new Freshness.Claim(revision(1_000_000_000_000_000_000L), revision(1_000_000_000_000_000_000L), 0),
				"peer", 1000);
		this.freshness.answered(1000, revision(9), revision(9), revision(9));
		assertThat(this.freshness.isBehind()).isFalse();
		this.freshness.claimed(
				new Freshness.Claim(revision(1_000_000_000_000_000_001L), revision(1_000_000_000_000_000_001L), 0),
				"peer", 1000);
		assertThat(this.freshness.isBehind()).isFalse();
		this.freshness.claimed(new Freshness.Claim(revision(11), revision(11), 0), "other", 1000);
		assertThat(this.freshness.isBehind()).isTrue();
	}

	@Test
	void aProcessThatHasReadNothingClaimsNothing() {
		assertThat(this.freshness.claim()).isEmpty();
		this.freshness.answered(1000, revision(7), revision(6), revision(7));
		this.clock.advance(10);
		assertThat(this.freshness.claim()).contains(new Freshness.Claim(revision(6), revision(7), 10));
	}

	@Test
	void aClaimOfNoRevisionConfirmsNothing() {
		this.freshness.answered(1000, revision(7), revision(7), revision(7));
		this.clock.advance(5000);
		this.freshness.claimed(new Freshness.Claim(revision(0), revision(0), 0), "peer", 6000);
		assertThat(this.freshness.unconfirmedMillis()).isEqualTo(5000);
	}

	@Test
	void aPeerThatHasListedLaterIsNotAhead() {
		this.freshness.answered(1000, revision(7), revision(6), revision(7));
		this.clock.advance(5000);
		this.freshness.claimed(new Freshness.Claim(revision(6), revision(90), 0), "peer", 6000);
		assertThat(this.freshness.isBehind()).isFalse();
		assertThat(this.freshness.unconfirmedMillis()).as("a deletion before 90 may be unknown").isEqualTo(5000);
	}

}
