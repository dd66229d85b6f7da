package org.snowwind.app.logging;

import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * One line of text an event: time, level, event.
 */
final class TextLines extends Formatter {

	@Override
	public String format(LogRecord line) {
		String cause = (line.getThrown() != null) ? " cause=\"" + line.getThrown() + '"' : "";
		return line.getInstant() + " " + line.getLevel() + " " + formatMessage(line) + cause + "\n";
	}

}
