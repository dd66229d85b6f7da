package org.snowwind.decide.ledger;

/**
 * Names one attempt in the whole fleet.
 *
 * @param entryIncarnation the run of the entry process that sends it
 * @param sequence grows with each attempt of that run and is never used again
 */
public record AttemptId(long entryIncarnation, long sequence) {

	/**
	 * Reads an id from a header.
	 * @param text incarnation and sequence in hexadecimal with a hyphen between
	 * @return the id
	 * @throws NumberFormatException if the text is not an id
	 */
	public static AttemptId parse(String text) {
		int hyphen = text.indexOf('-');
		if (hyphen < 0) {
			throw new NumberFormatException("an attempt id has a hyphen: " + text);
		}
		long incarnation = Long.parseUnsignedLong(text.substring(0, hyphen), 16);
		return new AttemptId(incarnation, Long.parseUnsignedLong(text.substring(hyphen + 1), 16));
	}

	@Override
	public String toString() {
		return Long.toHexString(this.entryIncarnation) + "-" + Long.toHexString(this.sequence);
	}

}
