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

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventStream}.
 */
class EventStreamTests {

	private static String take(EventStream stream, String text) {
		return joined(stream.take(text.getBytes(StandardCharsets.UTF_8))).toString(StandardCharsets.UTF_8);
	}

	private static ByteArrayOutputStream joined(List<StreamEvent> events) {
		ByteArrayOutputStream joined = new ByteArrayOutputStream();
		events.forEach((event) -> joined.writeBytes(event.bytes()));
		return joined;
	}

	private static List<String> idsOf(EventStream stream, String text) {
		return stream.take(text.getBytes(StandardCharsets.UTF_8)).stream().map(StreamEvent::id).toList();
	}

	private static String events(int from, int to) {
		StringBuilder text = new StringBuilder();
		for (int id = from; id <= to; id++) {
			text.append("id: ").append(id).append("\ndata: text ").append(id).append("\n\n");
		}
		return text.toString();
	}

	@Test
	void onlyWholeEventsGoOn() {
		EventStream stream = new EventStream(null);
		assertThat(take(stream, "id: 1\nda")).isEmpty();
		assertThat(take(stream, "ta: a\n\nid: 2\n")).isEqualTo("id: 1\ndata: a\n\n");
		assertThat(stream.unfinished()).isTrue();
		assertThat(stream.heldBytes()).isEqualTo("id: 2\n".length());
	}

	@Test
	void eachEventNamesItsId() {
		assertThat(idsOf(new EventStream(null), events(1, 2))).containsExactly("1", "2");
	}

	@Test
	void anEmptyIdIsNone() {
		assertThat(idsOf(new EventStream(null), "id:\ndata: a\n\n")).containsOnlyNulls().hasSize(1);
	}

	@Test
	void dataIsToldFromComments() {
		byte[] bytes = "data: a\n\n: still here\n\ndata\n\n".getBytes(StandardCharsets.UTF_8);
		assertThat(new EventStream(null).take(bytes)).extracting(StreamEvent::data).containsExactly(true, false, true);
	}

	@Test
	void aTornEventIsNoPartOfTheStreamThatGoesOnElsewhere() {
		EventStream torn = new EventStream(null);
		assertThat(take(torn, events(1, 2) + "id: 3\ndata: ha")).isEqualTo(events(1, 2));
		EventStream next = new EventStream("2");
		assertThat(take(next, events(3, 3))).isEqualTo(events(3, 3));
		assertThat(next.unfinished()).isFalse();
		assertThat(torn.unfinished()).isTrue();
	}

	@Test
	void anEventThatWasDeliveredIsNotDeliveredAgain() {
		StreamPosition position = new StreamPosition(null);
		EventStream first = new EventStream(position.lastId());
		first.take(events(1, 3).getBytes(StandardCharsets.UTF_8)).forEach(position::delivered);
		EventStream second = new EventStream(position.lastId());
		assertThat(take(second, events(2, 5))).isEqualTo(events(4, 5));
	}

	@Test
	void whatTheCallerHasIsNotDelivered() {
		EventStream stream = new EventStream("7");
		assertThat(take(stream, events(7, 8))).isEqualTo(events(8, 8));
	}

	@Test
	void linesMayEndWithCarriageReturns() {
		EventStream stream = new EventStream(null);
		assertThat(take(stream, "id: 1\r\ndata: a\r\n\r\n")).isEqualTo("id: 1\r\ndata: a\r\n\r\n");
		assertThat(idsOf(stream, "id: 2\r\ndata: b\r\n\r\n")).containsExactly("2");
	}

	@Property(tries = 200)
	void howTheBytesArriveMakesNoDifference(@ForAll Random random, @ForAll @IntRange(min = 0, max = 12) int events) {
		byte[] whole = events(1, events).getBytes(StandardCharsets.UTF_8);
		EventStream stream = new EventStream(null);
		StreamPosition position = new StreamPosition(null);
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		int at = 0;
		while (at < whole.length) {
			int length = Math.min(whole.length - at, 1 + random.nextInt(20));
			List<StreamEvent> taken = stream.take(Arrays.copyOfRange(whole, at, at + length));
			taken.forEach(position::delivered);
			out.writeBytes(joined(taken).toByteArray());
			at += length;
		}
		assertThat(out.toByteArray()).isEqualTo(whole);
		assertThat(position.events()).isEqualTo(events);
	}

}
