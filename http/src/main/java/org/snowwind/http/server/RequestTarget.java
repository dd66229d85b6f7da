package org.snowwind.http.server;

/**
 * Checks request targets against the grammar of HTTP.
 *
 * <p>
 * Targets are passed on as they came, so whatever servers may read differently is
 * refused.
 */
final class RequestTarget {

	private static final String CONNECT = "CONNECT";

	private static final String ASTERISK_FORM = "*";

	private static final String AFTER_SCHEME = "://";

	private static final String MARKS = "-._~:/?[]@!$&'()*+,;=";

	private static final int HEX_RADIX = 16;

	private static final int ESCAPE_LENGTH = 3;

	private RequestTarget() {
	}

	/**
	 * Tells whether a target may be routed.
	 * @param method the method
	 * @param target the target as sent
	 * @return false if the target is not valid for the method
	 */
	static boolean isValid(String method, String target) {
		return hasValidForm(method, target) && hasValidCharacters(target);
	}

	private static boolean hasValidForm(String method, String target) {
		if (CONNECT.equals(method)) {
			return target.indexOf('/') < 0;
		}
		return target.startsWith("/") || target.equals(ASTERISK_FORM) || isAbsoluteWithPath(target);
	}

	// An absolute URL without a path could not be passed on as it came.
	private static boolean isAbsoluteWithPath(String target) {
		int scheme = target.indexOf(AFTER_SCHEME);
		int authority = scheme + AFTER_SCHEME.length();
		int path = target.indexOf('/', authority);
		int query = target.indexOf('?');
		return scheme > 0 && path > authority && (query < 0 || path < query);
	}

	private static boolean hasValidCharacters(String target) {
		int at = 0;
		while (at < target.length()) {
			char character = target.charAt(at);
			if (character == '%') {
				if (!isEscape(target, at)) {
					return false;
				}
				at += ESCAPE_LENGTH;
			}
			else if (isLetterOrDigit(character) || MARKS.indexOf(character) >= 0) {
				at++;
			}
			else {
				return false;
			}
		}
		return true;
	}

	private static boolean isEscape(String target, int at) {
		return at + ESCAPE_LENGTH <= target.length() && isHexDigit(target.charAt(at + 1))
				&& isHexDigit(target.charAt(at + 2));
	}

	private static boolean isHexDigit(char character) {
		return isLetterOrDigit(character) && Character.digit(character, HEX_RADIX) >= 0;
	}

	private static boolean isLetterOrDigit(char character) {
		return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
				|| (character >= '0' && character <= '9');
	}

}
