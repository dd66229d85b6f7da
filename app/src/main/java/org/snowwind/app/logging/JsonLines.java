package org.snowwind.app.logging;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.snowwind.model.Json;

/**
 * One JSON object an event: time, level, event id, message.
 */
final class JsonLines extends Formatter {

	@Override
	public String format(LogRecord line) {
		String message = formatMessage(line);
		int space = message.indexOf(' ');
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("time", line.getInstant().toString());
		fields.put("level", line.getLevel().getName());
		fields.put("event", (message.startsWith("SW-") && space > 0) ? message.substring(0, space) : "");
		fields.put("message", message);
		if (line.getThrown() != null) {
			fields.put("cause", line.getThrown().toString());
		}
		try {
			return Json.MAPPER.writeValueAsString(fields) + "\n";
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("texts always serialize", ex);
		}
	}

}
