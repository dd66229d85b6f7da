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
	void initialPositionIsTheCallersLastId() {
		StreamPosition position = new StreamPosition("7");
		assertThat(position.lastId()).isEqualTo("7");
		assertThat(position.events()).isZero();
		assertThat(position.bytes()).isZero();
	}

	@Test
	void deliveredEventAdvancesThePosition() {
		StreamPosition position = new StreamPosition(null);
		position.recordDelivered(event("1", "first"));
		position.recordDelivered(event("2", "second"));
		assertThat(position.lastId()).isEqualTo("2");
		assertThat(position.events()).isEqualTo(2);
		assertThat(position.bytes()).isEqualTo("first".length() + "second".length());
	}

	@Test
	void positionIsNotExactAfterDataWithoutIdUntilTheNextId() {
		StreamPosition position = new StreamPosition("1");
		assertThat(position.isExact()).isTrue();
		position.recordDelivered(event(null, "data"));
		assertThat(position.isExact()).isFalse();
		assertThat(position.lastId()).isEqualTo("1");
		position.recordDelivered(event("3", "data"));
		assertThat(position.isExact()).isTrue();
	}

	@Test
	void positionRemainsExactAfterAComment() {
		StreamPosition position = new StreamPosition("1");
		position.recordDelivered(new StreamEvent(null, false, new byte[1]));
		assertThat(position.isExact()).isTrue();
	}

	@Test
	void positionIsNotExactAfterADecreasingIdUntilAHigherId() {
		StreamPosition position = new StreamPosition(null);
		position.recordDelivered(event("1", "data"));
		position.recordDelivered(event("2", "data"));
		position.recordDelivered(event("2", "again"));
		assertThat(position.isExact()).isTrue();
		position.recordDelivered(event("1", "back"));
		assertThat(position.isExact()).isFalse();
		position.recordDelivered(event("3", "data"));
		assertThat(position.isExact()).isTrue();
		assertThat(position.lastId()).isEqualTo("3");
	}

	@Test
	void positionIsNotExactAfterANonNumericId() {
		StreamPosition position = new StreamPosition(null);
		position.recordDelivered(event("a", "data"));
		assertThat(position.isExact()).isFalse();
	}

}
