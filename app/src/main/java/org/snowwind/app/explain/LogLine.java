package org.snowwind.app.explain;

import java.io.IOException;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.model.Json;

/**
 * One structured log line.
 *
 * @param time when it was written, by the clock of its process
 * @param event the event's id, such as {@code SW-4102}
 * @param source what a collector has put before the line, such as the process's name
 * @param fields all its fields
 */
record LogLine(Instant time, String event, String source, JsonNode fields) {

	/**
	 * Reads a line.
	 * @param text the line, which a collector may have prefixed
	 * @return the line, empty if it is no structured one
	 */
	static Optional<LogLine> parse(String text) {
		int brace = text.indexOf('{');
		if (brace < 0) {
			return Optional.empty();
		}
		try {
			JsonNode fields = Json.MAPPER.readTree(text.substring(brace));
			if (!fields.path("event").isTextual() || !fields.path("time").isTextual()) {
				return Optional.empty();
			}
			return Optional.of(new LogLine(Instant.parse(fields.path("time").asText()), fields.path("event").asText(),
					text.substring(0, brace).strip(), fields));
		}
		catch (IOException | DateTimeParseException ex) {
			// Other programs write to the same collector; what is no line of ours is left
			// out.
			return Optional.empty();
		}
	}

	long number(String field) {
		return this.fields.path(field).asLong(0);
	}

	String text(String field) {
		return this.fields.path(field).asText("");
	}

}
