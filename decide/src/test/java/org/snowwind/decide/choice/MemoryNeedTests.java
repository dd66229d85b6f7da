package org.snowwind.decide.choice;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link MemoryNeed}.
 */
class MemoryNeedTests {

	private static MemoryNeed need(long tokens) {
		return new MemoryNeed(tokens, 100, 1000);
	}

	@Test
	void ownRequestsCountWithTheirSizes() {
		assertThat(need(400).fits(500, 0)).isTrue();
		assertThat(need(401).fits(500, 0)).isFalse();
	}

	@Test
	void requestsOfPeersCountWithTheUsualSize() {
		assertThat(need(400).fits(300, 2)).isTrue();
		assertThat(need(400).fits(300, 3)).isFalse();
	}

	@Test
	void emptyServerTakesARequestThatFillsIt() {
		assertThat(need(1000).fits(0, 0)).isTrue();
		assertThat(need(1000).exceedsServer()).isFalse();
	}

	@Test
	void requestLargerThanAServerFitsNowhere() {
		assertThat(need(1001).fits(0, 0)).isFalse();
		assertThat(need(1001).exceedsServer()).isTrue();
	}

	@Test
	void nothingIsCheckedWithoutTheMemoryOfAServer() {
		MemoryNeed unknown = new MemoryNeed(Long.MAX_VALUE, 100, 0);
		assertThat(unknown.fits(Long.MAX_VALUE, Integer.MAX_VALUE)).isTrue();
		assertThat(unknown.exceedsServer()).isFalse();
	}

	@Test
	void largestNumbersDoNotOverflow() {
		assertThat(need(2L * Integer.MAX_VALUE).fits(Long.MAX_VALUE, Integer.MAX_VALUE)).isFalse();
	}

}
