package org.snowwind.model.event;

import com.google.common.flogger.FluentLogger;

/**
 * Writes numbered events as {@code SW-nnnn summary key=value ...}.
 */
public final class EventLog {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private EventLog() {
	}

	/**
	 * Logs an event.
	 * @param event the event
	 * @param keysAndValues keys and values by turns; never bodies, never credentials
	 */
	public static void log(Event event, Object... keysAndValues) {
		logger.at(event.level()).log("%s", render(event, keysAndValues));
	}

	/**
	 * Logs an event with its cause.
	 * @param event the event
	 * @param cause what was thrown
	 * @param keysAndValues keys and values by turns
	 */
	public static void log(Event event, Throwable cause, Object... keysAndValues) {
		logger.at(event.level()).withCause(cause).log("%s", render(event, keysAndValues));
	}

	static String render(Event event, Object... keysAndValues) {
		StringBuilder line = new StringBuilder(event.id()).append(' ').append(event.summary());
		for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
			line.append(' ').append(keysAndValues[i]).append('=').append(quoted(keysAndValues[i + 1]));
		}
		return line.toString();
	}

	private static String quoted(Object value) {
		String text = String.valueOf(value);
		boolean plain = !text.isEmpty()
				&& text.codePoints().noneMatch((c) -> c <= ' ' || c == '"' || c == '=' || isEscaped(c));
		return plain ? text : '"' + escaped(text.replace('"', '\'')) + '"';
	}

	private static String escaped(String text) {
		StringBuilder line = new StringBuilder();
		text.codePoints().forEach((c) -> {
			if (isEscaped(c)) {
				line.append(String.format("\\u%04x", c));
			}
			else {
				line.appendCodePoint(c);
			}
		});
		return line.toString();
	}

	// Names come from others: a value must neither start a line nor control a terminal.
	private static boolean isEscaped(int codePoint) {
		return switch (Character.getType(codePoint)) {
			case Character.CONTROL, Character.FORMAT, Character.SURROGATE, Character.LINE_SEPARATOR,
					Character.PARAGRAPH_SEPARATOR ->
				true;
			default -> false;
		};
	}

}
