package org.snowwind.http;

import java.nio.charset.StandardCharsets;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FieldText}.
 */
class FieldTextTests {

	private static final int MAX_OCTETS = 20;

	@Provide
	Arbitrary<String> texts() {
		Arbitrary<String> any = Arbitraries.strings().withCharRange('\0', '\uffff').ofMaxLength(8);
		Arbitrary<String> near = Arbitraries.strings()
			.withChars(" \t\r\n\0a?%\u0085\u00a0é\u00c3\u00a9\u0160\ud83d\ude00\ude01\u3000\ufeff\ufffd".toCharArray())
			.ofMaxLength(4);
		return Arbitraries.oneOf(any, near);
	}

	private static boolean isFit(String text) {
		return FieldText.fault(text, MAX_OCTETS).isEmpty();
	}

	@Property
	void differentTextsNeverShareAValue(@ForAll("texts") String first, @ForAll("texts") String second) {
		if (!first.equals(second) && isFit(first) && isFit(second)) {
			assertThat(FieldText.encode(first)).isNotEqualTo(FieldText.encode(second))
				.isNotEqualTo(FieldText.encode(second).strip());
		}
	}

	@Property
	void valueHasOnlyOctetsThatReachTheRecipientUnchanged(@ForAll("texts") String text) {
		if (isFit(text)) {
			String value = FieldText.encode(text);
			assertThat(value.chars()).allMatch((c) -> c >= ' ' && c <= 0xff && c != 0x7f);
			assertThat(value).doesNotStartWith(" ").doesNotEndWith(" ").hasSizeLessThanOrEqualTo(MAX_OCTETS);
			assertThat(new String(value.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8)).isEqualTo(text);
		}
	}

	@Property
	void asciiIsUnchanged(@ForAll("texts") String text) {
		if (text.chars().allMatch((c) -> c < 0x80)) {
			assertThat(FieldText.encode(text)).isEqualTo(text);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "a", "north-\u03b1", "a b", "é", "?", "%C3%A9", "\ud83d\ude00", "a\u200db" })
	void ordinaryNamesAreFit(String text) {
		assertThat(FieldText.fault(text, MAX_OCTETS)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", " ", " a", "a ", "a\t", "\ta", "a\tb", "a\r\nb", "a\nb", "a\0", "a\u007f", "a\u0085b",
			"a\u00a0", "\u3000a", "\ufeffa", "\ud83d", "a\ude00b", "\ude00\ud83d", "a\ufffd", "\u2028" })
	void textsThatAreLostOrChangedOnTheWayAreFound(String text) {
		assertThat(FieldText.fault(text, MAX_OCTETS)).isPresent();
	}

	@Test
	void lengthIsCountedInOctets() {
		assertThat(FieldText.fault("é".repeat(10), MAX_OCTETS)).isEmpty();
		assertThat(FieldText.fault("é".repeat(11), MAX_OCTETS)).contains("has 22 octets, more than 20");
	}

}
