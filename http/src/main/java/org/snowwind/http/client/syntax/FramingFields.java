package org.snowwind.http.client.syntax;

import java.util.ArrayList;
import java.util.List;

/**
 * The fields of a head that say where the content ends (RFC 9112, section 6).
 */
final class FramingFields {

	/** The content has chunks. */
	static final long CHUNKED = -1;

	/** The content lasts until the connection is closed. */
	static final long UNTIL_CLOSE = -2;

	private static final String CODING_NAME = "transfer-encoding";

	private static final String LENGTH_NAME = "content-length";

	private final List<String> codings = new ArrayList<>();

	private final List<String> lengths = new ArrayList<>();

	private boolean lastIsFraming;

	private boolean folded;

	/**
	 * Adds a field line.
	 * @param line a valid field line
	 * @param colon the index of its colon
	 */
	void add(LineBuffer line, int colon) {
		this.lastIsFraming = false;
		if (colon == CODING_NAME.length() || colon == LENGTH_NAME.length()) {
			addNamed(line.text(0, colon), line, colon);
		}
	}

	private void addNamed(String name, LineBuffer line, int colon) {
		if (CODING_NAME.equalsIgnoreCase(name)) {
			this.codings.add(valueOf(line, colon));
			this.lastIsFraming = true;
		}
		else if (LENGTH_NAME.equalsIgnoreCase(name)) {
			this.lengths.add(valueOf(line, colon));
			this.lastIsFraming = true;
		}
	}

	private static String valueOf(LineBuffer line, int colon) {
		return line.text(colon + 1, line.length()).strip();
	}

	/** Records that the last field line is continued. */
	void addFolded() {
		this.folded |= this.lastIsFraming;
	}

	/**
	 * Returns how long the content is.
	 * @param minorVersion the minor version of HTTP/1
	 * @return the length in bytes, {@link #CHUNKED} or {@link #UNTIL_CLOSE}
	 * @throws MalformedResponseException if the fields do not tell
	 */
	long contentBytes(int minorVersion) throws MalformedResponseException {
		if (!this.codings.isEmpty()) {
			checkCodings(minorVersion);
			return CHUNKED;
		}
		return this.lengths.isEmpty() ? UNTIL_CLOSE : lengthBytes();
	}

	// No request of ours offers another coding, and HTTP/1.0 knows none.
	private void checkCodings(int minorVersion) throws MalformedResponseException {
		String joined = String.join(",", this.codings);
		List<String> names = new ArrayList<>();
		for (String name : joined.split(",")) {
			if (!name.isBlank()) {
				names.add(name.strip());
			}
		}
		boolean valid = minorVersion > 0 && !this.folded && names.size() == 1
				&& "chunked".equalsIgnoreCase(names.get(0));
		if (!valid) {
			throw MalformedResponseException.of(ResponseFault.TRANSFER_CODING, "just the transfer coding chunked",
					joined);
		}
	}

	private long lengthBytes() throws MalformedResponseException {
		String value = String.join(",", this.lengths);
		boolean valid = !this.folded && !value.isEmpty() && value.chars().allMatch(Octets::isDigit);
		if (!valid) {
			throw lengthFault(value);
		}
		try {
			return Long.parseLong(value);
		}
		catch (NumberFormatException ex) {
			throw lengthFault(value);
		}
	}

	private static MalformedResponseException lengthFault(String value) {
		return MalformedResponseException.of(ResponseFault.CONTENT_LENGTH, "one content length", value);
	}

}
