package org.snowwind.gateway.expert;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.snowwind.gateway.registry.BackendIncarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CountWindows}.
 */
class CountWindowsTests {

	private final CountWindows windows = new CountWindows();

	private Optional<long[][]> since(String server, long nowMillis, long... counts) {
		return this.windows.since(BackendIncarnation.of(server), new long[][] { counts }, nowMillis);
	}

	@Test
	void theFirstReadTellsNothing() {
		assertThat(since("a", 0, 500, 700)).isEmpty();
	}

	@Test
	void laterReadsTellWhatWasChosenInBetween() {
		since("a", 0, 500, 700);
		since("b", 100, 90, 90);
		assertThat(since("a", 300, 510, 703).orElseThrow()[0]).containsExactly(10, 3);
	}

	@Test
	void aReadLongAfterTheLastOneTellsNothing() {
		since("a", 0, 500, 700);
		assertThat(since("a", 5000, 900, 900)).as("it mixes what was before a move and after").isEmpty();
		assertThat(since("a", 5200, 905, 901).orElseThrow()[0]).containsExactly(5, 1);
	}

	@Test
	void aRankThatCountsAnewTellsNothingNegative() {
		since("a", 0, 500, 700);
		assertThat(since("a", 200, 4, 701).orElseThrow()[0]).containsExactly(0, 1);
	}

	@Test
	void afterAClearEveryReadIsAFirstOne() {
		since("a", 0, 500, 700);
		this.windows.clear();
		assertThat(since("a", 100, 510, 710)).isEmpty();
	}

	@Test
	void anotherLifeOfTheServerCountsFromZero() {
		this.windows.since(new BackendIncarnation("a", 1000), new long[][] { { 50 } }, 0);
		assertThat(this.windows.since(new BackendIncarnation("a", 2000), new long[][] { { 60 } }, 100)).isEmpty();
		assertThat(this.windows.since(new BackendIncarnation("a", 2000), new long[][] { { 65 } }, 200).orElseThrow()[0])
			.containsExactly(5);
	}

}
