package org.snowwind.http.client.syntax;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Complete lines for tests of what parses them.
 */
final class Lines {

	private Lines() {
	}

	static LineBuffer of(String text) throws MalformedResponseException {
		LineBuffer line = new LineBuffer();
		assertThat(line.read(Unpooled.copiedBuffer(text + "\r\n", StandardCharsets.ISO_8859_1))).isTrue();
		return line;
	}

	static ResponseFault faultOf(Parsing parsing) {
		return catchThrowableOfType(MalformedResponseException.class, parsing::run).fault();
	}

	/**
	 * Parses a line that is not valid.
	 */
	@FunctionalInterface
	interface Parsing {

		void run() throws MalformedResponseException;

	}

}
