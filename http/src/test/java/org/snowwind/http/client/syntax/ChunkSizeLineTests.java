package org.snowwind.http.client.syntax;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ChunkSizeLine}.
 */
class ChunkSizeLineTests {

	@ParameterizedTest
	@CsvSource(delimiter = '|', ignoreLeadingAndTrailingWhitespace = false, value = { "0|0", "1a|26", "1A|26",
			"000000000000000000001|1", "7 |7", "7;a=b|7", "7 ; a=\"b c\"|7", "7fffffffffffffff|9223372036854775807" })
	void sizeIsRead(String line, long sizeBytes) throws MalformedResponseException {
		assertThat(ChunkSizeLine.parse(Lines.of(line))).isEqualTo(sizeBytes);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "g", " 7", "7 7", "7\0", "-7", "+7", "0x7", "7,", "7;a=\0", "8000000000000000",
			"fffffffffffffffff" })
	void otherLinesAreRejected(String line) {
		assertThat(Lines.faultOf(() -> ChunkSizeLine.parse(Lines.of(line)))).isEqualTo(ResponseFault.CHUNK_SIZE);
	}

}
