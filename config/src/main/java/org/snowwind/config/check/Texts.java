package org.snowwind.config.check;

import java.util.function.Predicate;
import java.util.regex.Pattern;

import org.snowwind.config.settings.Addresses;

/**
 * Predicates about texts, to be composed.
 */
public final class Texts {

	private Texts() {
	}

	/**
	 * Matches a DNS label.
	 * @return a predicate: 1 to 63 lower-case letters, digits and inner hyphens
	 */
	public static Predicate<String> dnsLabel() {
		return matching("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
	}

	/**
	 * Matches lower-case hexadecimal of a certain length.
	 * @param length the number of digits
	 * @return a predicate
	 */
	public static Predicate<String> hex(int length) {
		return matching("[0-9a-f]{" + length + "}");
	}

	/**
	 * Matches an address by IP number.
	 * @return a predicate
	 */
	public static Predicate<String> ipAndPort() {
		return (text) -> text != null && Addresses.parse(text).isPresent();
	}

	/**
	 * Matches a regular expression.
	 * @param expression the expression
	 * @return a predicate that is false for {@code null}
	 */
	public static Predicate<String> matching(String expression) {
		Predicate<String> whole = Pattern.compile(expression).asMatchPredicate();
		return (text) -> text != null && whole.test(text);
	}

}
