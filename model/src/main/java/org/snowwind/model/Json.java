package org.snowwind.model;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * The JSON mappers of this process.
 */
public final class Json {

	/** Strict about unknown fields, silent about absent ones. */
	public static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.defaultPropertyInclusion(JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.ALWAYS))
		.build();

	private static final int NO_LIMIT = Integer.MAX_VALUE;

	/**
	 * Parses documents with values of several writers. A limit would reject the whole
	 * document because of one value, so the reader bounds each value instead.
	 */
	private static final JsonFactory FOREIGN = JsonFactory.builder()
		.streamReadConstraints(StreamReadConstraints.builder()
			.maxNestingDepth(NO_LIMIT)
			.maxNumberLength(NO_LIMIT)
			.maxStringLength(NO_LIMIT)
			.maxNameLength(NO_LIMIT)
			.build())
		.enable(JsonReadFeature.ALLOW_UNESCAPED_CONTROL_CHARS)
		.enable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
		.disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
		.build();

	private Json() {
	}

	/**
	 * Reads a document that others have written. Bytes that are no text are replaced, so
	 * that they spoil only the value that holds them. Values that are nested too deeply
	 * are replaced by {@code null}, whole numbers that are too long by floating-point
	 * numbers.
	 * @param bytes the document, in UTF-8 as far as it is text
	 * @return the document, a missing node for no bytes
	 * @throws IOException if it is no JSON
	 */
	public static JsonNode readForeign(byte[] bytes) throws IOException {
		try (JsonParser parser = FOREIGN.createParser(new String(bytes, StandardCharsets.UTF_8))) {
			return ForeignJsonReader.read(parser);
		}
	}

}
