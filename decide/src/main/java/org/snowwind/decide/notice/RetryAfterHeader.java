package org.snowwind.decide.notice;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.snowwind.decide.limit.AnnouncedLimit;

/**
 * Parses the value of {@code Retry-After}.
 *
 * <p>
 * Seconds may have decimals. A date is taken relative to the date of the response, so
 * that the clock of this process does not matter. Of several values, the longest is used.
 * Delays longer than {@link #MAX_MILLIS} are capped, so that one wrong value cannot keep
 * a server out of service indefinitely.
 */
public final class RetryAfterHeader {

	/** The longest delay that is honoured, in milliseconds. */
	public static final long MAX_MILLIS = TimeUnit.MINUTES.toMillis(5);

	private static final double MILLIS_PER_SECOND = 1000;

	private RetryAfterHeader() {
	}

	/**
	 * Parses a value.
	 * @param value the value, or several values joined by commas
	 * @param responseDate the value of the response's {@code Date}, {@code null} if it
	 * has none
	 * @return the delay in milliseconds, 0 to {@link #MAX_MILLIS}; empty if the value
	 * cannot be parsed
	 */
	public static OptionalLong parseMillis(String value, String responseDate) {
		double seconds = -1;
		for (String part : value.split(",", -1)) {
			if (AnnouncedLimit.NUMBER.matcher(part.strip()).matches()) {
				seconds = Math.max(seconds, Double.parseDouble(part.strip()));
			}
		}
		if (seconds >= 0) {
			return OptionalLong.of((long) Math.min(MAX_MILLIS, Math.ceil(seconds * MILLIS_PER_SECOND)));
		}
		return parseDate(value, responseDate);
	}

	private static OptionalLong parseDate(String value, String responseDate) {
		if (responseDate == null) {
			return OptionalLong.empty();
		}
		try {
			Duration delay = Duration.between(parse(responseDate), parse(value));
			return OptionalLong.of(Math.max(0, Math.min(MAX_MILLIS, delay.toMillis())));
		}
		catch (DateTimeException ex) {
			return OptionalLong.empty();
		}
	}

	private static ZonedDateTime parse(String date) {
		return ZonedDateTime.parse(date.strip(), DateTimeFormatter.RFC_1123_DATE_TIME);
	}

}
