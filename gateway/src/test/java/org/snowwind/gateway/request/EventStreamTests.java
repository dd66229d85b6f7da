package org.snowwind.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
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
		return new String(stream.take(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
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
		assertThat(stream.torn()).isTrue();
		assertThat(stream.lastId()).isEqualTo("1");
	}

	@Test
	void aTornEventIsForgottenBeforeTheStreamGoesOnElsewhere() {
		EventStream stream = new EventStream(null);
		take(stream, events(1, 2) + "id: 3\ndata: ha");
		stream.forgetTorn();
		assertThat(take(stream, events(3, 3))).isEqualTo(events(3, 3));
		assertThat(stream.torn()).isFalse();
	}

	@Test
	void anEventThatWasDeliveredIsNotDeliveredAgain() {
		EventStream stream = new EventStream(null);
		take(stream, events(1, 3));
		assertThat(take(stream, events(2, 5))).isEqualTo(events(4, 5));
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
		assertThat(stream.lastId()).isEqualTo("1");
	}

	@Property(tries = 200)
	void howTheBytesArriveMakesNoDifference(@ForAll Random random, @ForAll @IntRange(min = 0, max = 12) int events) {
		byte[] whole = events(1, events).getBytes(StandardCharsets.UTF_8);
		EventStream stream = new EventStream(null);
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		int at = 0;
		while (at < whole.length) {
			int length = Math.min(whole.length - at, 1 + random.nextInt(20));
			out.writeBytes(stream.take(java.util.Arrays.copyOfRange(whole, at, at + length)));
			at += length;
		}
		assertThat(out.toByteArray()).isEqualTo(whole);
		assertThat(stream.events()).isEqualTo(events);
	}

}
