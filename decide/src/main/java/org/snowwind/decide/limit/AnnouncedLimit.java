package org.snowwind.decide.limit;

import java.util.regex.Pattern;

/**
 * The rate limit that the head of one response announces. It applies to all processes
 * together.
 */
public sealed interface AnnouncedLimit {

	/** The response announces no limit. */
	AnnouncedLimit NONE = new None();

	/** A decimal number without a sign, optionally with an exponent. */
	Pattern NUMBER = Pattern.compile("(\\d+(\\.\\d*)?|\\.\\d+)([eE][+-]?\\d+)?");

	/**
	 * Parses the value of a header. The lowest of several numbers applies, since the
	 * server accepts that rate in any case. Text that is not a usable number is ignored.
	 * @param value the value, several joined by commas; {@code null} if there is no
	 * header
	 * @return the limit
	 */
	static AnnouncedLimit parse(String value) {
		if (value == null) {
			return NONE;
		}
		double lowest = Double.POSITIVE_INFINITY;
		for (String element : value.split(",", -1)) {
			if (NUMBER.matcher(element.strip()).matches()) {
				lowest = Math.min(lowest, Double.parseDouble(element.strip()));
			}
		}
		return Double.isInfinite(lowest) ? new Unreadable(value) : new Rate(lowest);
	}

	/**
	 * The response announces a limit.
	 *
	 * @param perSecond requests per second, 0 or more
	 */
	record Rate(double perSecond) implements AnnouncedLimit {

	}

	/**
	 * The response announces no limit.
	 */
	record None() implements AnnouncedLimit {

	}

	/**
	 * The response has a header for the limit, but without a usable number.
	 *
	 * @param text the value of the header
	 */
	record Unreadable(String text) implements AnnouncedLimit {

	}

}
