package org.snowwind.http.client.syntax;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

/**
 * Tests for {@link FieldLine}.
 */
class FieldLineTests {

	private static ResponseFault faultOf(String line) {
		return Lines.faultOf(() -> FieldLine.check(Lines.of(line)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "X-A:", "X-A: b", "X-A:\tb \t", "!~9: gr\u00fcn", "X-A: b: c" })
	void colonEndsTheName(String line) throws MalformedResponseException {
		assertThat(FieldLine.check(Lines.of(line))).isEqualTo(line.indexOf(':'));
	}

	@ParameterizedTest
	@ValueSource(strings = { "X A: b", "X-A : b", "X-A\t: b", "X\0A: b", "X\u007f: b", "X\u00e4: b", "(X): b", ": b",
			"X-A" })
	void namesThatAreNoTokensAreRejected(String line) {
		assertThat(faultOf(line)).isEqualTo(ResponseFault.FIELD_NAME);
	}

	@ParameterizedTest
	@ValueSource(strings = { "X-A: \0", "X-A: b\rc", "X-A:\u0001", "X-A: \u007f" })
	void controlCharactersInValuesAreRejected(String line) {
		assertThat(faultOf(line)).isEqualTo(ResponseFault.FIELD_VALUE);
	}

	@Test
	void valueIsNotQuoted() {
		assertThat(catchThrowable(() -> FieldLine.check(Lines.of("X A: secret"))))
			.hasMessage("malformed response: expected a token and a colon, got 'X '");
	}

}
