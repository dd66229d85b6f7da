package org.snowwind.store;

import org.junit.jupiter.api.Test;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Freshness}.
 */
class FreshnessTests {

	private final ManualClock clock = new ManualClock(1000);

	private final Freshness freshness = new Freshness(this.clock);

	@Test
	void aCopyThatWasNeverConfirmedAgesFromItsCreation() {
		this.clock.advance(300);
		assertThat(this.freshness.unconfirmedMillis()).isEqualTo(300);
	}

	@Test
	void anAnswerConfirmsAsOfTheMomentOfItsCall() {
		this.clock.advance(5000);
		this.freshness.confirm(2000);
		assertThat(this.freshness.unconfirmedMillis()).isEqualTo(4000);
	}

	@Test
	void anAnswerToAnEarlierCallDoesNotMakeACopyOlder() {
		this.clock.advance(5000);
		this.freshness.confirm(5500);
		this.freshness.confirm(2000);
		assertThat(this.freshness.unconfirmedMillis()).isEqualTo(500);
	}

}
