package org.snowwind.gateway.request;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StreamPosition}.
 */
class StreamPositionTests {

	private static StreamEvent event(String id, String text) {
		return new StreamEvent(id, true, text.getBytes(StandardCharsets.UTF_8));
	}

	@Test
	void aCallerThatWasSentNothingIsWhereItSaysItIs() {
		StreamPosition position = new StreamPosition("7");
		assertThat(position.lastId()).isEqualTo("7");
		assertThat(position.events()).isZero();
		assertThat(position.bytes()).isZero();
	}

	@Test
	void eachDeliveredEventMovesThePosition() {
		StreamPosition position = new StreamPosition(null);
		position.delivered(event("1", "first"));
		position.delivered(event("2", "second"));
		assertThat(position.lastId()).isEqualTo("2");
		assertThat(position.events()).isEqualTo(2);
		assertThat(position.bytes()).isEqualTo("first".length() + "second".length());
	}

	@Test
	void dataWithoutAnIdLeavesThePositionUnknownUntilTheNextId() {
		StreamPosition position = new StreamPosition("1");
		assertThat(position.known()).isTrue();
		position.delivered(event(null, "data"));
		assertThat(position.known()).isFalse();
		assertThat(position.lastId()).isEqualTo("1");
		position.delivered(event("3", "data"));
		assertThat(position.known()).isTrue();
	}

	@Test
	void aCommentLeavesThePositionKnown() {
		StreamPosition position = new StreamPosition("1");
		position.delivered(new StreamEvent(null, false, new byte[1]));
		assertThat(position.known()).isTrue();
	}

	@Test
	void anIdThatGoesBackLeavesThePositionUnknownUntilItIsPassed() {
		StreamPosition position = new StreamPosition(null);
		position.delivered(event("1", "data"));
		position.delivered(event("2", "data"));
		position.delivered(event("2", "again"));
		assertThat(position.known()).isTrue();
		position.delivered(event("1", "back"));
		assertThat(position.known()).isFalse();
		position.delivered(event("3", "data"));
		assertThat(position.known()).isTrue();
		assertThat(position.lastId()).isEqualTo("3");
	}

	@Test
	void anIdWithoutOrderLeavesThePositionUnknown() {
		StreamPosition position = new StreamPosition(null);
		position.delivered(event("a", "data"));
		assertThat(position.known()).isFalse();
	}

}
