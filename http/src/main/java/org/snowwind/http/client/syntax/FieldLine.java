package org.snowwind.http.client.syntax;

/**
 * A field line of a header or trailer section.
 *
 * <p>
 * White space between name and colon is not valid. RFC 9112, section 5.1, lets proxies
 * remove it, but the framing of a response must not depend on a name that other
 * recipients read differently.
 */
final class FieldLine {

	private FieldLine() {
	}

	/**
	 * Returns whether a line continues the value of the line before (RFC 9112, 5.2).
	 * @param line the complete line, not empty
	 * @return whether it does
	 */
	static boolean isFolded(LineBuffer line) {
		return Octets.isBlank(line.at(0));
	}

	/**
	 * Checks a line that is not folded.
	 * @param line the complete line, not empty
	 * @return the index of the colon
	 * @throws MalformedResponseException if the line is not valid
	 */
	static int check(LineBuffer line) throws MalformedResponseException {
		int colon = 0;
		while (colon < line.length() && Octets.isToken(line.at(colon))) {
			colon++;
		}
		if (colon == 0 || colon == line.length() || line.at(colon) != ':') {
			// What follows the name may be confidential.
			throw MalformedResponseException.of(ResponseFault.FIELD_NAME, "a token and a colon",
					line.text(0, Math.min(colon + 1, line.length())));
		}
		checkValue(line, colon + 1);
		return colon;
	}

	/**
	 * Checks a part of a field value.
	 * @param line the complete line
	 * @param from where the value starts
	 * @throws MalformedResponseException if the value holds a control character
	 */
	static void checkValue(LineBuffer line, int from) throws MalformedResponseException {
		for (int i = from; i < line.length(); i++) {
			if (!Octets.isText(line.at(i))) {
				throw MalformedResponseException.of(ResponseFault.FIELD_VALUE, "a value without control characters",
						line.text(i, i + 1));
			}
		}
	}

}
