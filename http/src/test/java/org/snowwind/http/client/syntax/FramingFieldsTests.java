package org.snowwind.http.client.syntax;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FramingFields}.
 */
class FramingFieldsTests {

	private static FramingFields fields(String... lines) throws MalformedResponseException {
		FramingFields fields = new FramingFields();
		for (String text : lines) {
			LineBuffer line = Lines.of(text);
			if (FieldLine.isFolded(line)) {
				fields.addFolded();
			}
			else {
				fields.add(line, FieldLine.check(line));
			}
		}
		return fields;
	}

	private static ResponseFault faultOf(int minorVersion, String... lines) {
		return Lines.faultOf(() -> fields(lines).contentBytes(minorVersion));
	}

	@Test
	void contentLastsUntilTheConnectionIsClosedWithoutFields() throws MalformedResponseException {
		assertThat(fields("Server: a", " 5").contentBytes(1)).isEqualTo(FramingFields.UNTIL_CLOSE);
	}

	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: 12", "content-length:012\t" })
	void lengthIsRead(String line) throws MalformedResponseException {
		assertThat(fields(line, "Server: a", " b").contentBytes(0)).isEqualTo(12);
	}

	@ParameterizedTest
	@ValueSource(
			strings = { "Transfer-Encoding: chunked", "TRANSFER-ENCODING: Chunked", "Transfer-Encoding: ,chunked ," })
	void chunkedIsRead(String line) throws MalformedResponseException {
		assertThat(fields(line, "Content-Length: 3").contentBytes(1)).isEqualTo(FramingFields.CHUNKED);
	}

	@ParameterizedTest
	@ValueSource(strings = { "+1", "-1", "0x1", "1 1", "1, 1", "", "one", "9223372036854775808" })
	void otherLengthsAreRejected(String value) {
		assertThat(faultOf(1, "Content-Length: " + value)).isEqualTo(ResponseFault.CONTENT_LENGTH);
	}

	@Test
	void severalLengthsAreRejected() {
		assertThat(faultOf(1, "Content-Length: 1", "Content-Length: 1")).isEqualTo(ResponseFault.CONTENT_LENGTH);
	}

	@ParameterizedTest
	@ValueSource(strings = { "gzip", "gzip, chunked", "chunked, chunked", "chunked;a=b", "xchunked", "identity", "" })
	void otherTransferCodingsAreRejected(String value) {
		assertThat(faultOf(1, "Transfer-Encoding: " + value)).isEqualTo(ResponseFault.TRANSFER_CODING);
	}

	@Test
	void chunkedIsRejectedBeforeVersionOneOne() {
		assertThat(faultOf(0, "Transfer-Encoding: chunked")).isEqualTo(ResponseFault.TRANSFER_CODING);
	}

	@Test
	void foldedFramingIsRejected() {
		assertThat(faultOf(1, "Content-Length:", " 5")).isEqualTo(ResponseFault.CONTENT_LENGTH);
		assertThat(faultOf(1, "Transfer-Encoding: chunked", " ")).isEqualTo(ResponseFault.TRANSFER_CODING);
	}

}
