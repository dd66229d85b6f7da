package org.snowwind.decide.limit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServerLimit}.
 */
class ServerLimitTests {

	private final ServerLimit limit = new ServerLimit();

	@Test
	void aLimitIsActiveUntilAResponseToALaterRequestAnnouncesNone() {
		assertThat(this.limit.named(1, 1000, 1100)).isTrue();
		assertThat(this.limit.unnamed(1099, 1200)).as("the response may be older").isFalse();
		assertThat(this.limit.unnamed(1101, 1300)).isTrue();
		assertThat(this.limit.stands()).isFalse();
	}

	@Test
	void aLateResponseDoesNotRestoreAnEndedLimit() {
		this.limit.named(1, 1000, 1100);
		this.limit.unnamed(1101, 1300);
		assertThat(this.limit.named(1, 1050, 1400)).isFalse();
		assertThat(this.limit.named(1, 1299, 1400)).isFalse();
		assertThat(this.limit.named(1, 1301, 1500)).isTrue();
	}

	@Test
	void aLowerLimitAppliesAtOnceAndAHigherOneOnlyIfItIsCertainlyNewer() {
		this.limit.named(5, 1000, 1100);
		assertThat(this.limit.named(2, 900, 1110)).isTrue();
		assertThat(this.limit.named(5, 1050, 1120)).isFalse();
		assertThat(this.limit.perSecond()).isEqualTo(2);
		assertThat(this.limit.named(5, 1130, 1140)).isTrue();
	}

	@Test
	void aReportOfAPeerAppliesIfItIsNewer() {
		assertThat(this.limit.heard(new LimitWord(3, 1000), 1200)).isTrue();
		assertThat(this.limit.heard(new LimitWord(4, 1500), 1600)).as("may be older").isFalse();
		assertThat(this.limit.heard(new LimitWord(2, 900), 1600)).as("lower, and possibly newer").isTrue();
		assertThat(this.limit.heard(new LimitWord(4, 2500), 2600)).isTrue();
	}

	@Test
	void aReportOfAnEndedLimitAppliesOnlyIfItIsCertainlyNewer() {
		this.limit.named(3, 1000, 1100);
		assertThat(this.limit.heard(new LimitWord(LimitWord.ENDED, 1900), 2000)).isFalse();
		assertThat(this.limit.heard(new LimitWord(LimitWord.ENDED, 2200), 2300)).isTrue();
	}

	@Test
	void aReportThatReturnsFromAPeerDoesNotBecomeNewer() {
		this.limit.named(3, 1000, 1100);
		LimitWord word = this.limit.word();
		for (int round = 1; round < 100; round++) {
			this.limit.heard(new LimitWord(word.perSecond(), this.limit.word().atMillis() + 20), 1100 + round * 100L);
		}
		assertThat(this.limit.word()).isEqualTo(word);
	}

	@Test
	void aLimitThatWasNeverAnnouncedIsNotActive() {
		assertThat(this.limit.unnamed(10, 20)).isFalse();
		assertThat(this.limit.heard(new LimitWord(LimitWord.ENDED, 5000), 6000)).isFalse();
		assertThat(this.limit.stands()).isFalse();
	}

}
