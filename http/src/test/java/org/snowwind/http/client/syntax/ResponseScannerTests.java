package org.snowwind.http.client.syntax;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatNoException;

/**
 * Tests that the scanner names the broken rule, finds the end of each response, and
 * accepts the bytes before a fault however they are split.
 */
class ResponseScannerTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\n";

	private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

	private static final String VALID = "HTTP/1.1 103 X\r\nA: b\r\n\r\n" + HEAD + "A: b\r\n c\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nSum: 1\r\n\r\n";

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
	}

	private static String unescape(String text) {
		return text.replace("\\r", "\r").replace("\\n", "\n").replace("\\0", "\0").replace("\\t", "\t");
	}

	private static ResponseFault faultOf(ResponseScanner scanner, String text) {
		try {
			scanner.scan(bytes(text));
			return null;
		}
		catch (MalformedResponseException ex) {
			return ex.fault();
		}
	}

	private static ResponseScanner scannerFor(String method) {
		ResponseScanner scanner = new ResponseScanner();
		scanner.expectResponse(method);
		return scanner;
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', ignoreLeadingAndTrailingWhitespace = false,
			value = { "HTTP/2.0 200 OK\\r\\n|HTTP_VERSION", "HTTP/1.1 000 OK\\r\\n|STATUS_CODE",
					"HTTP/1.1 103 X\\r\\n\\r\\nHTTP/1.1 600 X\\r\\n|STATUS_CODE",
					"HTTP/1.1 200 \\0\\r\\n|REASON_PHRASE", "HTTP/1.1 200 OK\\r\\n A: b\\r\\n|LEADING_WHITE_SPACE",
					"HTTP/1.1 200 OK\\r\\nA B: c\\r\\n|FIELD_NAME", "HTTP/1.1 200 OK\\r\\nA : c\\r\\n|FIELD_NAME",
					"HTTP/1.1 200 OK\\r\\nA\\0: c\\r\\n|FIELD_NAME", "HTTP/1.1 200 OK\\r\\nA: \\0\\r\\n|FIELD_VALUE",
					"HTTP/1.1 200 OK\\n|LINE_END", "HTTP/1.1 200 OK\\r\\nContent-Length: +1\\r\\n\\r\\n|CONTENT_LENGTH",
					"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: gzip\\r\\n\\r\\n|TRANSFER_CODING",
					"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1 1\\r\\n|CHUNK_SIZE",
					"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\r\\nab\\r\\n|CHUNK_END",
					"HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\nA B: c\\r\\n|FIELD_NAME",
					"HTTP/1.1 204 OK\\r\\n\\r\\nx|SURPLUS_BYTES",
					"HTTP/1.1 200 OK\\r\\nContent-Length: 1\\r\\n\\r\\nabc|SURPLUS_BYTES" })
	void brokenRuleIsNamed(String text, ResponseFault fault) {
		assertThat(faultOf(scannerFor("GET"), unescape(text))).isEqualTo(fault);
	}

	@Test
	void lineWithoutEndIsNotCollected() {
		ResponseScanner scanner = scannerFor("GET");
		assertThat(faultOf(scanner, HEAD + "A: " + "b".repeat(LineBuffer.MAX_BYTES - 3))).isNull();
		assertThat(faultOf(scanner, "b")).isEqualTo(ResponseFault.LINE_LENGTH);
	}

	@Test
	void responseSplitAnywhereIsValid() {
		for (int at = 0; at <= VALID.length(); at++) {
			ResponseScanner scanner = scannerFor("GET");
			assertThat(faultOf(scanner, VALID.substring(0, at))).isNull();
			assertThat(faultOf(scanner, VALID.substring(at))).isNull();
			assertThat(faultOf(scanner, "x")).isEqualTo(ResponseFault.SURPLUS_BYTES);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "204 X\r\n\r\n", "304 X\r\nContent-Length: 5\r\n\r\n",
			"200 X\r\nContent-Length: 3\r\n\r\nabc", "200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" })
	void nextResponseOnAConnectionIsCheckedFromItsStart(String response) {
		ResponseScanner scanner = scannerFor("GET");
		for (int i = 0; i < 3; i++) {
			assertThat(faultOf(scanner, "HTTP/1.1 " + response)).isNull();
			scanner.expectResponse("GET");
		}
		assertThat(faultOf(scanner, "HTTP/1.1 000 X\r\n")).isEqualTo(ResponseFault.STATUS_CODE);
	}

	@Test
	void responseToHeadHasNoContent() {
		ResponseScanner scanner = scannerFor("HEAD");
		assertThat(faultOf(scanner, HEAD + "Content-Length: 5\r\n\r\n")).isNull();
		scanner.expectResponse("GET");
		assertThat(faultOf(scanner, "HTTP/1.1 000 X\r\n")).isEqualTo(ResponseFault.STATUS_CODE);
	}

	@Test
	void contentThatLastsUntilTheConnectionIsClosedIsNotRead() {
		assertThatNoException().isThrownBy(() -> scannerFor("GET").scan(bytes(HEAD + "\r\nHTTP/1.1 000 X\r\n\0")));
	}

	@Test
	void contentBeforeAFaultIsAccepted() {
		String valid = CHUNKED + "3\r\nabc\r\n";
		ResponseScanner scanner = scannerFor("GET");
		assertThat(faultOf(scanner, valid + "1 1\r\nd\r\n")).isEqualTo(ResponseFault.CHUNK_SIZE);
		assertThat(scanner.acceptedIndex()).isEqualTo(valid.length());
	}

	@Test
	void faultIsFoundHoweverTheBytesAreSplit() {
		Random random = new Random(1);
		String text = VALID.replace("Sum", "S um");
		for (int play = 0; play < 200; play++) {
			ResponseScanner scanner = scannerFor("GET");
			ResponseFault fault = null;
			for (int from = 0; from < text.length() && fault == null;) {
				int until = Math.min(text.length(), from + 1 + random.nextInt(9));
				fault = faultOf(scanner, text.substring(from, until));
				from = until;
			}
			assertThat(fault).isEqualTo(ResponseFault.FIELD_NAME);
		}
	}

	@Test
	void reasonHoldsNoControlCharacters() {
		MalformedResponseException ex = MalformedResponseException.of(ResponseFault.STATUS_CODE, "a code",
				"\n\u00e4" + "x".repeat(100));
		assertThat(ex).hasMessage("malformed response: expected a code, got '\\x0a\\xe4" + "x".repeat(38) + "...'");
	}

}
