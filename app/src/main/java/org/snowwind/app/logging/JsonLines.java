package org.snowwind.app.logging;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.snowwind.model.Json;

/**
 * One JSON object an event: time, level, event id, what happened, and a field for each
 * key and value.
 */
final class JsonLines extends Formatter {

	/** How {@code EventLog} renders an event: id, summary, then keys and values. */
	private static final Pattern EVENT = Pattern.compile("(SW-\\d+) ([^=]*?)((?: [A-Za-z]+=(?:\"[^\"]*\"|[^ \"]*))*)");

	private static final Pattern FIELD = Pattern.compile(" ([A-Za-z]+)=(?:\"([^\"]*)\"|([^ \"]*))");

	private static final Pattern NUMBER = Pattern.compile("-?(?:0|[1-9]\\d{0,17})");

	@Override
	public String format(LogRecord line) {
		String message = formatMessage(line);
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("time", line.getInstant().toString());
		fields.put("level", line.getLevel().getName());
		Matcher event = EVENT.matcher(message);
		if (event.matches()) {
			fields.put("event", event.group(1));
			fields.put("message", event.group(2));
			addFields(event.group(3), fields);
		}
		else {
			fields.put("event", "");
			fields.put("message", message);
		}
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

	private static void addFields(String rendered, Map<String, Object> fields) {
		Matcher field = FIELD.matcher(rendered);
		while (field.find()) {
			String text = (field.group(2) != null) ? field.group(2) : field.group(3);
			fields.put(field.group(1), NUMBER.matcher(text).matches() ? Long.valueOf(text) : text);
		}
	}

}
