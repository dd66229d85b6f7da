package org.snowwind.gateway.expert;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link DemandBook}.
 */
class DemandBookTests {

	private static final double HALF_LIFE_MILLIS = 800;

	private final DemandBook book = new DemandBook(1, 3, HALF_LIFE_MILLIS);

	private double add(long nowMillis, long... chosen) {
		return this.book.add(new long[][] { chosen }, nowMillis);
	}

	@Test
	void whatWasChosenLongAgoCountsLess() {
		add(0, 4000, 4000, 4000);
		add((long) HALF_LIFE_MILLIS, 1000, 1000, 1000);
		assertThat(this.book.demand()[0]).containsExactly(new double[] { 3000, 3000, 3000 }, within(1e-9));
	}

	@Test
	void whatWasChosenBeforeAMoveIsForgotten() {
		add(0, 9000, 500, 500);
		double movedShare = add(100, 100, 1000, 900);
		assertThat(movedShare).isGreaterThan(DemandBook.MOVED_SHARE);
		assertThat(this.book.demand()[0]).containsExactly(100, 1000, 900);
	}

	@Test
	void aWaverIsNoMove() {
		add(0, 5000, 3000, 2000);
		double movedShare = add(0, 550, 270, 180);
		assertThat(movedShare).isLessThan(DemandBook.MOVED_SHARE);
		assertThat(this.book.demand()[0]).containsExactly(5550, 3270, 2180);
	}

	@Test
	void aFewChoicesAreNoMove() {
		add(0, 9000, 500, 500);
		assertThat(add(0, 0, 10, 0)).isZero();
		assertThat(this.book.demand()[0]).containsExactly(9000, 510, 500);
	}

}
