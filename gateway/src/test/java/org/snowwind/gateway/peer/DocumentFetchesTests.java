package org.snowwind.gateway.peer;

import org.junit.jupiter.api.Test;
import org.snowwind.wire.generated.GatewayDocument;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DocumentFetches}.
 */
class DocumentFetchesTests {

	private static final GatewayDocument TABLE = GatewayDocument.TABLE;

	private final DocumentFetches fetches = new DocumentFetches(500, 800);

	@Test
	void thePlatformHasTheGraceToBringIt() {
		assertThat(this.fetches.begin(TABLE, 5, 4, false, 1000)).isFalse();
		assertThat(this.fetches.begin(TABLE, 6, 4, false, 1499)).isFalse();
		assertThat(this.fetches.begin(TABLE, 5, 4, false, 1500)).isTrue();
	}

	@Test
	void aGatewayWithoutADocumentDoesNotWait() {
		assertThat(this.fetches.begin(TABLE, 5, 0, false, 1000)).isTrue();
	}

	@Test
	void aPlatformThatDoesNotAnswerHasNoGrace() {
		assertThat(this.fetches.begin(TABLE, 5, 4, true, 1000)).isTrue();
	}

	@Test
	void oneFetchIsUnderWayAtATime() {
		this.fetches.begin(TABLE, 5, 4, false, 1000);
		assertThat(this.fetches.begin(TABLE, 5, 4, false, 1500)).isTrue();
		assertThat(this.fetches.begin(TABLE, 5, 4, false, 1600)).isFalse();
		this.fetches.failed(TABLE);
		assertThat(this.fetches.begin(TABLE, 5, 4, false, 1700)).isTrue();
		assertThat(this.fetches.begin(TABLE, 5, 4, false, 2500)).as("one that never ended").isTrue();
	}

	@Test
	void aDocumentThatArrivedBeginsTheGraceAnew() {
		this.fetches.begin(TABLE, 5, 4, false, 1000);
		assertThat(this.fetches.begin(TABLE, 6, 5, false, 1600)).isFalse();
		assertThat(this.fetches.begin(TABLE, 6, 5, false, 2100)).isTrue();
	}

	@Test
	void aPeerThatHasNothingNewerIsNotAsked() {
		this.fetches.begin(TABLE, 9, 4, false, 1000);
		assertThat(this.fetches.begin(TABLE, 4, 4, false, 3000)).isFalse();
	}

	@Test
	void aRevisionThatItsPeerDidNotGiveIsNotAskedForAgain() {
		this.fetches.begin(TABLE, Long.MAX_VALUE, 4, false, 1000);
		assertThat(this.fetches.begin(TABLE, Long.MAX_VALUE, 4, false, 1500)).isTrue();
		this.fetches.ended(TABLE, Long.MAX_VALUE, 4, 1600);
		assertThat(this.fetches.begin(TABLE, Long.MAX_VALUE, 4, false, 9000)).isFalse();
		assertThat(this.fetches.begin(TABLE, 5, 4, false, 9000)).as("the grace holds for the next change").isFalse();
		assertThat(this.fetches.begin(TABLE, 5, 4, false, 9500)).isTrue();
	}

}
