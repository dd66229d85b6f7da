package org.snowwind.http.client.syntax;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StatusLine}.
 */
class StatusLineTests {

	private static ResponseFault faultOf(String line) {
		return Lines.faultOf(() -> StatusLine.parse(Lines.of(line)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 204 No Content", "HTTP/1.1 204", "HTTP/1.1 204 ", "HTTP/1.1\t204\tX",
			" HTTP/1.1 204", "HTTP/1.1  204  X", "HTTP/1.1\u000b204\f", "HTTP/1.1 204\rX", "HTTP/1.1 204 gr\u00fcn" })
	void whiteSpaceOfAnyKindSeparatesWords(String line) throws MalformedResponseException {
		assertThat(StatusLine.parse(Lines.of(line))).isEqualTo(new StatusLine(204, 1));
	}

	@Test
	void minorVersionIsRead() throws MalformedResponseException {
		assertThat(StatusLine.parse(Lines.of("HTTP/1.0 100 X"))).isEqualTo(new StatusLine(100, 0));
		assertThat(StatusLine.parse(Lines.of("HTTP/1.9 599 X"))).isEqualTo(new StatusLine(599, 9));
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/2.0", "HTTP/0.9", "http/1.1", "HTTP/1.", "HTTP/1.10", "HTTP/1.x", "HTTP/1.1\0", "" })
	void otherVersionsAreRejected(String version) {
		assertThat(faultOf(version + " 200 OK")).isEqualTo(ResponseFault.HTTP_VERSION);
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "20", "2000", "0200", "+200", "2OO", "200\0", "" })
	void otherStatusCodesAreRejected(String code) {
		assertThat(faultOf("HTTP/1.1 " + code)).isEqualTo(ResponseFault.STATUS_CODE);
	}

	@ParameterizedTest
	@ValueSource(strings = { "O\0K", "\u0001", "OK\u007f" })
	void controlCharactersInTheReasonAreRejected(String reason) {
		assertThat(faultOf("HTTP/1.1 200 " + reason)).isEqualTo(ResponseFault.REASON_PHRASE);
	}

}
