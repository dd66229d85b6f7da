package org.snowwind.decide.burn;

import java.util.EnumMap;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class BurnTests {

	private static Map<BurnWindow, Double> burnRates(double fiveMinutes, double oneHour, double sixHours) {
		Map<BurnWindow, Double> burnRates = new EnumMap<>(BurnWindow.class);
		burnRates.put(BurnWindow.FIVE_MINUTES, fiveMinutes);
		burnRates.put(BurnWindow.ONE_HOUR, oneHour);
		burnRates.put(BurnWindow.SIX_HOURS, sixHours);
		burnRates.put(BurnWindow.THREE_DAYS, 0.0);
		return burnRates;
	}

	@Test
	void burnRateIsOneWhenTheBudgetLastsForItsWindow() {
		assertThat(new RequestCounts(999, 1).burnRate(0.999)).isCloseTo(1, within(1e-9));
		assertThat(RequestCounts.NONE.burnRate(0.999)).isZero();
	}

	@Test
	void fastAlertNeedsAHighRateInBothWindows() {
		assertThat(BurnAlert.of(burnRates(20, 15, 0))).isEqualTo(BurnAlert.FAST);
		assertThat(BurnAlert.of(burnRates(20, 1, 0))).isEqualTo(BurnAlert.NONE);
		assertThat(BurnAlert.of(burnRates(0, 15, 0))).isEqualTo(BurnAlert.NONE);
	}

	@Test
	void slowAlertIsRaisedOverHours() {
		assertThat(BurnAlert.of(burnRates(0, 7, 7))).isEqualTo(BurnAlert.SLOW);
	}

}
