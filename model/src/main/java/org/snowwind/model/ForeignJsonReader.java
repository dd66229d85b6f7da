package org.snowwind.model;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Builds JSON trees whose depth and numbers are bounded, whatever the document contains.
 *
 * <p>
 * A tree takes up to a hundred times the memory of its text, and most operations on it
 * are recursive. The time to parse a whole number grows with the square of its length.
 */
final class ForeignJsonReader {

	/** The maximum depth of a tree. Deeper values are replaced by {@code null}. */
	static final int MAX_DEPTH = 64;

	/**
	 * The maximum length of a whole number, in characters. Longer ones are read as
	 * floating-point numbers.
	 */
	static final int MAX_WHOLE_NUMBER_CHARS = 1000;

	private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

	private ForeignJsonReader() {
	}

	/**
	 * Reads the first value of a document.
	 * @param parser the parser, before the first token
	 * @return the value, a missing node if there is none
	 * @throws IOException if the document is no JSON
	 */
	static JsonNode read(JsonParser parser) throws IOException {
		JsonToken first = parser.nextToken();
		return (first != null) ? value(parser, first, 1) : MissingNode.getInstance();
	}

	private static JsonNode value(JsonParser parser, JsonToken token, int depth) throws IOException {
		if (token.isStructStart() && depth > MAX_DEPTH) {
			parser.skipChildren();
			return NODES.nullNode();
		}
		return switch (token) {
			case START_OBJECT -> object(parser, depth);
			case START_ARRAY -> array(parser, depth);
			case VALUE_STRING -> NODES.textNode(parser.getText());
			case VALUE_NUMBER_INT -> wholeNumber(parser);
			case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
			case VALUE_TRUE -> NODES.booleanNode(true);
			case VALUE_FALSE -> NODES.booleanNode(false);
			default -> NODES.nullNode();
		};
	}

	private static ObjectNode object(JsonParser parser, int depth) throws IOException {
		ObjectNode object = NODES.objectNode();
		for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
			object.set(name, value(parser, parser.nextToken(), depth + 1));
		}
		return object;
	}

	private static ArrayNode array(JsonParser parser, int depth) throws IOException {
		ArrayNode array = NODES.arrayNode();
		for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
			array.add(value(parser, token, depth + 1));
		}
		return array;
	}

	private static JsonNode wholeNumber(JsonParser parser) throws IOException {
		if (parser.getTextLength() > MAX_WHOLE_NUMBER_CHARS) {
			return NODES.numberNode(Double.parseDouble(parser.getText()));
		}
		return switch (parser.getNumberType()) {
			case INT -> NODES.numberNode(parser.getIntValue());
			case LONG -> NODES.numberNode(parser.getLongValue());
			default -> NODES.numberNode(parser.getBigIntegerValue());
		};
	}

}
