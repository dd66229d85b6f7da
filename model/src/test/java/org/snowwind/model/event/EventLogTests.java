package org.snowwind.model.event;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventLog}.
 */
class EventLogTests {

	private static String render(String value) {
		return EventLog.render(Event.CONFIG_APPLIED, "key", value);
	}

	@ParameterizedTest
	@ValueSource(ints = { '\n', '\r', '\t', '\0', 0x1b, 0x7f, 0x85, 0x9b, 0x2028, 0x2029, 0xd83d, 0xde00, 0x202e })
	void valueCannotStartALineOrControlATerminal(int character) {
		assertThat(render("a" + (char) character + "b"))
			.isEqualTo("SW-2001 configuration applied key=" + String.format("\"a\\u%04xb\"", character));
	}

	@ParameterizedTest
	@CsvSource({ "a,a", "a b,\"a b\"", "é\uD83D\uDE00,é\uD83D\uDE00", "a=b,\"a=b\"" })
	void textStaysReadable(String value, String rendered) {
		assertThat(render(value)).isEqualTo("SW-2001 configuration applied key=" + rendered);
	}

}
