package org.snowwind.decide.ledger;

/**
 * Identifier of an attempt, unique in the whole fleet.
 *
 * @param entryIncarnation the incarnation of the entry process that sends the attempt
 * @param sequence the number of the attempt, which grows with each attempt of that
 * incarnation and is never reused
 */
public record AttemptId(long entryIncarnation, long sequence) {

	/**
	 * Parses an identifier from a header.
	 * @param text the incarnation and the sequence in hexadecimal, separated by a hyphen
	 * @return the identifier
	 * @throws NumberFormatException if the text is not an attempt identifier
	 */
	public static AttemptId parse(String text) {
		int hyphen = text.indexOf('-');
		if (hyphen < 0) {
			throw new NumberFormatException("attempt id without a hyphen: " + text);
		}
		long incarnation = Long.parseUnsignedLong(text.substring(0, hyphen), 16);
		return new AttemptId(incarnation, Long.parseUnsignedLong(text.substring(hyphen + 1), 16));
	}

	@Override
	public String toString() {
		return Long.toHexString(this.entryIncarnation) + "-" + Long.toHexString(this.sequence);
	}

}
