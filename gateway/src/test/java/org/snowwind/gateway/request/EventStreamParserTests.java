package org.snowwind.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventStreamParser}.
 */
class EventStreamParserTests {

	private static String parse(EventStreamParser parser, String text) {
		return joined(parser.parse(text.getBytes(StandardCharsets.UTF_8))).toString(StandardCharsets.UTF_8);
	}

	private static ByteArrayOutputStream joined(List<StreamEvent> events) {
		ByteArrayOutputStream joined = new ByteArrayOutputStream();
		events.forEach((event) -> joined.writeBytes(event.bytes()));
		return joined;
	}

	private static List<String> idsOf(EventStreamParser parser, String text) {
		return parser.parse(text.getBytes(StandardCharsets.UTF_8)).stream().map(StreamEvent::id).toList();
	}

	private static String events(int from, int to) {
		StringBuilder text = new StringBuilder();
		for (int id = from; id <= to; id++) {
			text.append("id: ").append(id).append("\ndata: text ").append(id).append("\n\n");
		}
		return text.toString();
	}

	@Test
	void onlyCompleteEventsAreReturned() {
		EventStreamParser parser = new EventStreamParser(null);
		assertThat(parse(parser, "id: 1\nda")).isEmpty();
		assertThat(parse(parser, "ta: a\n\nid: 2\n")).isEqualTo("id: 1\ndata: a\n\n");
		assertThat(parser.isIncomplete()).isTrue();
		assertThat(parser.heldBytes()).isEqualTo("id: 2\n".length());
	}

	@Test
	void idOfEachEventIsParsed() {
		assertThat(idsOf(new EventStreamParser(null), events(1, 2))).containsExactly("1", "2");
	}

	@Test
	void emptyIdIsTreatedAsMissing() {
		assertThat(idsOf(new EventStreamParser(null), "id:\ndata: a\n\n")).containsOnlyNulls().hasSize(1);
	}

	@Test
	void dataIsDistinguishedFromComments() {
		byte[] bytes = "data: a\n\n: still here\n\ndata\n\n".getBytes(StandardCharsets.UTF_8);
		assertThat(new EventStreamParser(null).parse(bytes)).extracting(StreamEvent::hasData)
			.containsExactly(true, false, true);
	}

	@Test
	void partialEventDoesNotLeakIntoTheNextAttemptsStream() {
		EventStreamParser broken = new EventStreamParser(null);
		assertThat(parse(broken, events(1, 2) + "id: 3\ndata: ha")).isEqualTo(events(1, 2));
		EventStreamParser next = new EventStreamParser("2");
		assertThat(parse(next, events(3, 3))).isEqualTo(events(3, 3));
		assertThat(next.isIncomplete()).isFalse();
		assertThat(broken.isIncomplete()).isTrue();
	}

	@Test
	void deliveredEventIsNotRepeatedByTheNextAttempt() {
		StreamPosition position = new StreamPosition(null);
		EventStreamParser first = new EventStreamParser(position.lastId());
		first.parse(events(1, 3).getBytes(StandardCharsets.UTF_8)).forEach(position::recordDelivered);
		EventStreamParser second = new EventStreamParser(position.lastId());
		assertThat(parse(second, events(2, 5))).isEqualTo(events(4, 5));
	}

	@Test
	void eventWithTheLastIdIsNotReturned() {
		EventStreamParser parser = new EventStreamParser("7");
		assertThat(parse(parser, events(7, 8))).isEqualTo(events(8, 8));
	}

	@Test
	void carriageReturnBeforeLineFeedIsAccepted() {
		EventStreamParser parser = new EventStreamParser(null);
		assertThat(parse(parser, "id: 1\r\ndata: a\r\n\r\n")).isEqualTo("id: 1\r\ndata: a\r\n\r\n");
		assertThat(idsOf(parser, "id: 2\r\ndata: b\r\n\r\n")).containsExactly("2");
	}

	@Property(tries = 200)
	void parsingDoesNotDependOnHowBytesAreSplit(@ForAll Random random,
			@ForAll @IntRange(min = 0, max = 12) int events) {
		byte[] whole = events(1, events).getBytes(StandardCharsets.UTF_8);
		EventStreamParser parser = new EventStreamParser(null);
		StreamPosition position = new StreamPosition(null);
		ByteArrayOutputStream delivered = new ByteArrayOutputStream();
		int at = 0;
		while (at < whole.length) {
			int length = Math.min(whole.length - at, 1 + random.nextInt(20));
			List<StreamEvent> parsed = parser.parse(Arrays.copyOfRange(whole, at, at + length));
			parsed.forEach(position::recordDelivered);
			delivered.writeBytes(joined(parsed).toByteArray());
			at += length;
		}
		assertThat(delivered.toByteArray()).isEqualTo(whole);
		assertThat(position.events()).isEqualTo(events);
	}

	@Test
	void idTooLongToBeSentToAnotherServerIsNotKept() {
		EventStreamParser longId = new EventStreamParser(null);
		byte[] bytes = ("id: " + "7".repeat(257) + "\ndata: a\n\n").getBytes(StandardCharsets.UTF_8);
		assertThat(longId.parse(bytes)).singleElement()
			.satisfies((event) -> assertThat(event.id()).isNull())
			.satisfies((event) -> assertThat(event.bytes()).isEqualTo(bytes));
	}

	@Test
	void idBeyondLatin1IsSentToAnotherServerAsItCame() {
		List<String> ids = idsOf(new EventStreamParser(null), "id: \u0160\ndata: a\n\nid: \u017d\ndata: b\n\n");
		assertThat(ids).extracting((id) -> id.getBytes(StandardCharsets.ISO_8859_1))
			.containsExactly("\u0160".getBytes(StandardCharsets.UTF_8), "\u017d".getBytes(StandardCharsets.UTF_8));
	}

	@Test
	void streamIsContinuedAfterAnIdBeyondAsciiThatItsCallerNamed() {
		String header = new String("\u00e9".getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
		String stream = "id: \u00e9\ndata: a\n\nid: 2\ndata: b\n\n";
		assertThat(parse(new EventStreamParser(header), stream)).doesNotContain("data: a");
	}

	@ParameterizedTest
	@ValueSource(strings = { "a\0b", "a\u000bb", "a\tb", "a\u007fb", "a\rb" })
	void idThatNoHeaderCarriesIsNotKept(String id) {
		assertThat(idsOf(new EventStreamParser(null), "id: " + id + "\ndata: a\n\n")).containsOnlyNulls().hasSize(1);
	}

}
