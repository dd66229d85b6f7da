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
	void fetchWaitsForGracePeriodOfPlatform() {
		assertThat(this.fetches.tryBegin(TABLE, 5, 4, false, 1000)).isFalse();
		assertThat(this.fetches.tryBegin(TABLE, 6, 4, false, 1499)).isFalse();
		assertThat(this.fetches.tryBegin(TABLE, 5, 4, false, 1500)).isTrue();
	}

	@Test
	void gatewayWithoutDocumentFetchesImmediately() {
		assertThat(this.fetches.tryBegin(TABLE, 5, 0, false, 1000)).isTrue();
	}

	@Test
	void unavailablePlatformHasNoGracePeriod() {
		assertThat(this.fetches.tryBegin(TABLE, 5, 4, true, 1000)).isTrue();
	}

	@Test
	void onlyOneFetchIsInFlight() {
		this.fetches.tryBegin(TABLE, 5, 4, false, 1000);
		assertThat(this.fetches.tryBegin(TABLE, 5, 4, false, 1500)).isTrue();
		assertThat(this.fetches.tryBegin(TABLE, 5, 4, false, 1600)).isFalse();
		this.fetches.failed(TABLE);
		assertThat(this.fetches.tryBegin(TABLE, 5, 4, false, 1700)).isTrue();
		assertThat(this.fetches.tryBegin(TABLE, 5, 4, false, 2500)).as("the earlier fetch has timed out").isTrue();
	}

	@Test
	void arrivedDocumentRestartsGracePeriod() {
		this.fetches.tryBegin(TABLE, 5, 4, false, 1000);
		assertThat(this.fetches.tryBegin(TABLE, 6, 5, false, 1600)).isFalse();
		assertThat(this.fetches.tryBegin(TABLE, 6, 5, false, 2100)).isTrue();
	}

	@Test
	void peerWithoutNewerRevisionIsNotAsked() {
		this.fetches.tryBegin(TABLE, 9, 4, false, 1000);
		assertThat(this.fetches.tryBegin(TABLE, 4, 4, false, 3000)).isFalse();
	}

	@Test
	void undeliveredRevisionIsNotFetchedAgain() {
		this.fetches.tryBegin(TABLE, Long.MAX_VALUE, 4, false, 1000);
		assertThat(this.fetches.tryBegin(TABLE, Long.MAX_VALUE, 4, false, 1500)).isTrue();
		this.fetches.completed(TABLE, Long.MAX_VALUE, 4, 1600);
		assertThat(this.fetches.tryBegin(TABLE, Long.MAX_VALUE, 4, false, 9000)).isFalse();
		assertThat(this.fetches.tryBegin(TABLE, 5, 4, false, 9000)).as("the grace period applies to the next change")
			.isFalse();
		assertThat(this.fetches.tryBegin(TABLE, 5, 4, false, 9500)).isTrue();
	}

}
