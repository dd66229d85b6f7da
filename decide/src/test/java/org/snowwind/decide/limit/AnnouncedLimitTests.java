package org.snowwind.decide.limit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AnnouncedLimit}.
 */
class AnnouncedLimitTests {

	@ParameterizedTest
	@CsvSource(delimiter = ';', value = { "1;1", "0;0", "0.05;0.05", ".5;0.5", "2.;2", " 10 ;10", "1e2;100", "3,7;3",
			"7, 3;3", "nothing, 4;4", "-1, 6;6" })
	void aNumberIsTheLimitAndOfSeveralTheLowest(String value, double perSecond) {
		assertThat(AnnouncedLimit.parse(value)).isEqualTo(new AnnouncedLimit.Rate(perSecond));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", " ", "many", "-1", "NaN", "Infinity", "1e400", "1d", "0x10", "1 2", "--" })
	void aValueWithoutAUsableNumberIsUnreadable(String value) {
		assertThat(AnnouncedLimit.parse(value)).isEqualTo(new AnnouncedLimit.Unreadable(value));
	}

	@Test
	void aMissingHeaderAnnouncesNoLimit() {
		assertThat(AnnouncedLimit.parse(null)).isEqualTo(AnnouncedLimit.NONE);
	}

}
