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
		assertThat(this.limit.onAnnouncement(1, 1000, 1100)).isTrue();
		assertThat(this.limit.onNoAnnouncement(1099, 1200)).as("the response may be older").isFalse();
		assertThat(this.limit.onNoAnnouncement(1101, 1300)).isTrue();
		assertThat(this.limit.isActive()).isFalse();
	}

	@Test
	void aLateResponseDoesNotRestoreAnEndedLimit() {
		this.limit.onAnnouncement(1, 1000, 1100);
		this.limit.onNoAnnouncement(1101, 1300);
		assertThat(this.limit.onAnnouncement(1, 1050, 1400)).isFalse();
		assertThat(this.limit.onAnnouncement(1, 1299, 1400)).isFalse();
		assertThat(this.limit.onAnnouncement(1, 1301, 1500)).isTrue();
	}

	@Test
	void aLowerLimitAppliesAtOnceAndAHigherOneOnlyIfItIsCertainlyNewer() {
		this.limit.onAnnouncement(5, 1000, 1100);
		assertThat(this.limit.onAnnouncement(2, 900, 1110)).isTrue();
		assertThat(this.limit.onAnnouncement(5, 1050, 1120)).isFalse();
		assertThat(this.limit.perSecond()).isEqualTo(2);
		assertThat(this.limit.onAnnouncement(5, 1130, 1140)).isTrue();
	}

	@Test
	void aReportOfAPeerAppliesIfItIsNewer() {
		assertThat(this.limit.onPeerReport(new LimitReport(3, 1000), 1200)).isTrue();
		assertThat(this.limit.onPeerReport(new LimitReport(4, 1500), 1600)).as("may be older").isFalse();
		assertThat(this.limit.onPeerReport(new LimitReport(2, 900), 1600)).as("lower, and possibly newer").isTrue();
		assertThat(this.limit.onPeerReport(new LimitReport(4, 2500), 2600)).isTrue();
	}

	@Test
	void aReportOfAnEndedLimitAppliesOnlyIfItIsCertainlyNewer() {
		this.limit.onAnnouncement(3, 1000, 1100);
		assertThat(this.limit.onPeerReport(new LimitReport(LimitReport.ENDED, 1900), 2000)).isFalse();
		assertThat(this.limit.onPeerReport(new LimitReport(LimitReport.ENDED, 2200), 2300)).isTrue();
	}

	@Test
	void aReportThatReturnsFromAPeerDoesNotBecomeNewer() {
		this.limit.onAnnouncement(3, 1000, 1100);
		LimitReport word = this.limit.report();
		for (int round = 1; round < 100; round++) {
			this.limit.onPeerReport(new LimitReport(word.perSecond(), this.limit.report().atMillis() + 20),
					1100 + round * 100L);
		}
		assertThat(this.limit.report()).isEqualTo(word);
	}

	@Test
	void aLimitThatWasNeverAnnouncedIsNotActive() {
		assertThat(this.limit.onNoAnnouncement(10, 20)).isFalse();
		assertThat(this.limit.onPeerReport(new LimitReport(LimitReport.ENDED, 5000), 6000)).isFalse();
		assertThat(this.limit.isActive()).isFalse();
	}

}
