package org.snowwind.decide.notice;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RetryAfterHeader}.
 */
class RetryAfterHeaderTests {

	private static final String DATE = "Thu, 03 Dec 2026 09:00:00 GMT";

	@ParameterizedTest
	@CsvSource(delimiter = ';',
			value = { "3;3000", "0.25;250", "0;0", " 2 ;2000", "1e1;10000", "1, 4;4000", "4, 1;4000", "soon, 2;2000",
					"0.0001;1", "1e9;300000", "1e400;300000", "Thu, 03 Dec 2026 09:00:02 GMT;2000",
					"Thu, 03 Dec 2026 08:59:00 GMT;0", "Fri, 03 Dec 2027 09:00:00 GMT;300000" })
	void validValuesAreParsed(String value, long millis) {
		assertThat(RetryAfterHeader.parseMillis(value, DATE)).hasValue(millis);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "-1", "soon", "NaN", "Infinity", "0x10", "3s", "Thu, 03 Dec 2026" })
	void invalidValuesAreIgnored(String value) {
		assertThat(RetryAfterHeader.parseMillis(value, DATE)).isEmpty();
	}

	@Test
	void dateIsIgnoredWithoutTheDateOfTheResponse() {
		assertThat(RetryAfterHeader.parseMillis("Thu, 03 Dec 2026 09:00:02 GMT", null)).isEmpty();
		assertThat(RetryAfterHeader.parseMillis("Thu, 03 Dec 2026 09:00:02 GMT", "yesterday")).isEmpty();
	}

}
