package org.snowwind.model;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link Json} with documents of other writers.
 */
class JsonTests {

	private static final int STORE_VALUE_BYTES = 1 << 20;

	private static JsonNode read(String text) throws IOException {
		return Json.readForeign(text.getBytes(StandardCharsets.UTF_8));
	}

	private static int depthOf(JsonNode tree) {
		int depth = 0;
		for (JsonNode node = tree; node
			.isContainerNode(); node = node.valueStream().findFirst().orElse(MissingNode.getInstance())) {
			depth++;
		}
		return depth;
	}

	@ParameterizedTest
	@ValueSource(ints = { 900, 1100, 100_000, STORE_VALUE_BYTES / 2 })
	void nestedArraysDoNotFillTheMemoryAndCanBeWritten(int depth) throws IOException {
		JsonNode items = read("[" + "[".repeat(depth) + "]".repeat(depth) + ",{\"a\":1}]");
		assertThat(depthOf(items.get(0))).isLessThan(ForeignJsonReader.MAX_DEPTH);
		assertThat(items.get(1).path("a").asInt()).isEqualTo(1);
		assertThat(items.toString()).hasSizeLessThan(1000);
	}

	@ParameterizedTest
	@ValueSource(ints = { 900, 1100, 100_000 })
	void nestedObjectsDoNotFillTheMemoryAndCanBeWritten(int depth) throws IOException {
		JsonNode items = read("[" + "{\"b\":".repeat(depth) + "0" + "}".repeat(depth) + ",{\"a\":1}]");
		assertThat(depthOf(items.get(0))).isLessThan(ForeignJsonReader.MAX_DEPTH);
		assertThat(items.get(1).path("a").asInt()).isEqualTo(1);
		assertThat(items.toString()).hasSizeLessThan(1000);
	}

	@Test
	void deepestAllowedValueIsReadAsItIs() throws IOException {
		String text = "[".repeat(ForeignJsonReader.MAX_DEPTH) + "]".repeat(ForeignJsonReader.MAX_DEPTH);
		assertThat(read(text)).hasToString(text);
		assertThat(depthOf(read("[" + text + "]"))).isEqualTo(ForeignJsonReader.MAX_DEPTH);
	}

	@ParameterizedTest
	@ValueSource(ints = { 5000, STORE_VALUE_BYTES })
	void longWholeNumberIsNotParsedDigitByDigit(int digits) throws IOException {
		JsonNode items = read("[" + "9".repeat(digits) + ",-" + "9".repeat(digits) + ",{\"a\":1}]");
		assertThat(items.get(0).isIntegralNumber()).isFalse();
		assertThat(items.get(0).doubleValue()).isEqualTo(Double.POSITIVE_INFINITY);
		assertThat(items.get(1).doubleValue()).isEqualTo(Double.NEGATIVE_INFINITY);
		assertThat(items.get(2).path("a").asInt()).isEqualTo(1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "{\"a\":[1,-2,3000000000,99999999999999999999,1.5,true,false,null,\"t\",{},[]]}", "[]",
			"1e20", "\"text\"", "null", "{\"a\":1,\"b\":{\"\":2}}" })
	void usualDocumentIsReadAsBefore(String text) throws IOException {
		assertThat(read(text)).isEqualTo(Json.MAPPER.readTree(text));
	}

	@Test
	void numbersBeyondTheRangeAndNoNumbersAreRead() throws IOException {
		JsonNode items = read("[1e400,-1e999999999,NaN,0." + "9".repeat(5000) + "]");
		assertThat(items.get(0).doubleValue()).isEqualTo(Double.POSITIVE_INFINITY);
		assertThat(items.get(1).doubleValue()).isEqualTo(Double.NEGATIVE_INFINITY);
		assertThat(items.get(2).doubleValue()).isNaN();
		assertThat(items.get(3).doubleValue()).isEqualTo(1);
	}

	@Test
	void emptyDocumentIsAMissingNode() throws IOException {
		assertThat(read("").isMissingNode()).isTrue();
		assertThat(read(" ").isMissingNode()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "[", "{\"a\"", "{\"a\":", "[1,", "x", "[1}" })
	void incompleteDocumentIsNoDocument(String text) {
		assertThatThrownBy(() -> read(text)).isInstanceOf(IOException.class);
	}

}
