package org.snowwind.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Texts as values of header fields. A value consists of octets (RFC 9110, section 5.5)
 * and is handled as a string with one character for each octet, as HTTP codecs do.
 */
public final class FieldText {

	/**
	 * Stands for bytes that could not be decoded, so that different texts may share it.
	 */
	private static final char REPLACEMENT = '\ufffd';

	private static final char BYTE_ORDER_MARK = '\ufeff';

	private FieldText() {
	}

	/**
	 * Encodes a text in UTF-8. ASCII is unchanged.
	 * @param text a text without a {@linkplain #fault fault}; different texts get
	 * different values
	 * @return the value, one character for each octet
	 */
	public static String encode(String text) {
		return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
	}

	/**
	 * Finds why a text cannot be the value of a header field, or not be told apart from
	 * another one by its recipient.
	 * @param text any text
	 * @param maxOctets the maximum length of the value, in octets
	 * @return the reason, which continues "the text ..." and does not quote it; empty if
	 * there is none
	 */
	public static Optional<String> fault(String text, int maxOctets) {
		if (text.isEmpty()) {
			return Optional.of("is empty");
		}
		Optional<String> unfit = text.codePoints().boxed().flatMap((c) -> characterFault(c).stream()).findFirst();
		if (unfit.isPresent()) {
			return unfit;
		}
		if (isBlank(text.codePointAt(0)) || isBlank(text.codePointBefore(text.length()))) {
			return Optional.of("starts or ends with white space");
		}
		int octets = encode(text).length();
		return (octets > maxOctets) ? Optional.of("has " + octets + " octets, more than " + maxOctets)
				: Optional.empty();
	}

	private static Optional<String> characterFault(int codePoint) {
		if (Character.isISOControl(codePoint)) {
			return Optional.of(String.format("has the control character U+%04X", codePoint));
		}
		if (Character.getType(codePoint) == Character.SURROGATE) {
			return Optional.of(String.format("has the unpaired surrogate U+%04X", codePoint));
		}
		return (codePoint == REPLACEMENT) ? Optional.of("has U+FFFD, the replacement of undecodable bytes")
				: Optional.empty();
	}

	// By RFC 9110 only blanks and tabs around a value are no part of it, but some
	// recipients trim other white space as well.
	private static boolean isBlank(int codePoint) {
		return Character.isWhitespace(codePoint) || Character.isSpaceChar(codePoint) || codePoint == BYTE_ORDER_MARK;
	}

}
