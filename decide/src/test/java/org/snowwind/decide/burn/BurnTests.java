package org.snowwind.decide.burn;

import java.util.EnumMap;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class BurnTests {

	private static Map<BurnWindow, Double> burns(double fiveMinutes, double oneHour, double sixHours) {
		Map<BurnWindow, Double> burns = new EnumMap<>(BurnWindow.class);
		burns.put(BurnWindow.FIVE_MINUTES, fiveMinutes);
		burns.put(BurnWindow.ONE_HOUR, oneHour);
		burns.put(BurnWindow.SIX_HOURS, sixHours);
		burns.put(BurnWindow.THREE_DAYS, 0.0);
		return burns;
	}

	@Test
	void burnIsOneWhenTheBudgetLastsItsWindow() {
		assertThat(new Tally(999, 1).burn(0.999)).isCloseTo(1, within(1e-9));
		assertThat(Tally.NONE.burn(0.999)).isZero();
	}

	@Test
	void aFastBurnNeedsBothItsWindows() {
		assertThat(BurnAlert.of(burns(20, 15, 0))).isEqualTo(BurnAlert.FAST);
		assertThat(BurnAlert.of(burns(20, 1, 0))).isEqualTo(BurnAlert.NONE);
		assertThat(BurnAlert.of(burns(0, 15, 0))).isEqualTo(BurnAlert.NONE);
	}

	@Test
	void aSlowBurnIsSeenOverHours() {
		assertThat(BurnAlert.of(burns(0, 7, 7))).isEqualTo(BurnAlert.SLOW);
	}

}
