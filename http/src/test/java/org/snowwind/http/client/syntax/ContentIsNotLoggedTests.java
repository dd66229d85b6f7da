package org.snowwind.http.client.syntax;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests that the reason of a fault, which is logged, holds no content and no field value.
 */
class ContentIsNotLoggedTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\n";

	@ParameterizedTest
	@ValueSource(strings = { "secret HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 secret\0\r\n",
			"HTTP/1.1 103 X\r\n\r\nsecret\r\n", HEAD + "X-A: secret\n", HEAD + "X A: secret\r\n",
			HEAD + "X-A: secret\0\r\n", HEAD + "Content-Length: 0\r\n\r\nsecret",
			HEAD + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\nsecret\r\n",
			HEAD + "Transfer-Encoding: chunked\r\n\r\n1\r\nasecret\r\n" })
	void reasonHoldsNoContent(String response) {
		assertThatThrownBy(
				() -> new ResponseScanner().scan(Unpooled.copiedBuffer(response, StandardCharsets.ISO_8859_1)))
			.isInstanceOf(MalformedResponseException.class)
			.hasMessageNotContaining("secret");
	}

}
