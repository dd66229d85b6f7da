package org.snowwind.http.client.syntax;

/**
 * The first line of a response.
 *
 * <p>
 * Words may be separated by any white space, as RFC 9112, section 4, allows. A higher
 * minor version is read as HTTP/1.1.
 *
 * @param status the status code, from 100 to 599
 * @param minorVersion the minor version of HTTP/1
 */
record StatusLine(int status, int minorVersion) {

	private static final String MAJOR_VERSION = "HTTP/1.";

	private static final int STATUS_DIGITS = 3;

	/**
	 * Parses a line.
	 * @param line the complete line
	 * @return its parts
	 * @throws MalformedResponseException if the line is not valid
	 */
	static StatusLine parse(LineBuffer line) throws MalformedResponseException {
		int versionStart = skipBlanks(line, 0);
		int versionEnd = skipWord(line, versionStart);
		int minorVersion = minorVersionOf(line.text(versionStart, versionEnd));
		int statusStart = skipBlanks(line, versionEnd);
		int statusEnd = skipWord(line, statusStart);
		int status = statusOf(line.text(statusStart, statusEnd));
		checkReason(line, statusEnd);
		return new StatusLine(status, minorVersion);
	}

	private static int skipBlanks(LineBuffer line, int from) {
		int index = from;
		while (index < line.length() && Octets.isStatusLineBlank(line.at(index))) {
			index++;
		}
		return index;
	}

	private static int skipWord(LineBuffer line, int from) {
		int index = from;
		while (index < line.length() && !Octets.isStatusLineBlank(line.at(index))) {
			index++;
		}
		return index;
	}

	private static int minorVersionOf(String word) throws MalformedResponseException {
		boolean valid = word.length() == MAJOR_VERSION.length() + 1 && word.startsWith(MAJOR_VERSION)
				&& Octets.isDigit(word.charAt(MAJOR_VERSION.length()));
		if (!valid) {
			// The word may be content, which is not logged.
			throw new MalformedResponseException(ResponseFault.HTTP_VERSION, "expected a version of HTTP/1");
		}
		return word.charAt(MAJOR_VERSION.length()) - '0';
	}

	private static int statusOf(String word) throws MalformedResponseException {
		boolean valid = word.length() == STATUS_DIGITS && word.chars().allMatch(Octets::isDigit)
				&& word.charAt(0) >= '1' && word.charAt(0) <= '5';
		if (!valid) {
			throw MalformedResponseException.of(ResponseFault.STATUS_CODE, "a status code from 100 to 599", word);
		}
		return Integer.parseInt(word);
	}

	private static void checkReason(LineBuffer line, int from) throws MalformedResponseException {
		for (int i = from; i < line.length(); i++) {
			if (!Octets.isText(line.at(i)) && !Octets.isStatusLineBlank(line.at(i))) {
				throw new MalformedResponseException(ResponseFault.REASON_PHRASE,
						"expected a reason phrase without control characters");
			}
		}
	}

}
