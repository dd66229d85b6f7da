package org.snowwind.gateway.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReplayFilter}.
 */
class ReplayFilterTests {

	private static StreamEvent event(String id) {
		return new StreamEvent(id, true, new byte[0]);
	}

	private static boolean isNew(ReplayFilter filter, String id) {
		StreamEvent event = event(id);
		return filter.filter(event).contains(event);
	}

	@Test
	void newStreamIsNotFiltered() {
		ReplayFilter filter = new ReplayFilter(null);
		assertThat(isNew(filter, "2")).isTrue();
		assertThat(isNew(filter, "1")).isTrue();
		assertThat(isNew(filter, null)).isTrue();
		assertThat(filter.isBehind()).isFalse();
	}

	@Test
	void deliveredEventsAreNotRepeated() {
		ReplayFilter filter = new ReplayFilter("2");
		assertThat(isNew(filter, "1")).isFalse();
		assertThat(isNew(filter, null)).as("data after the first event").isFalse();
		assertThat(filter.isBehind()).isTrue();
		assertThat(isNew(filter, "2")).isFalse();
		assertThat(isNew(filter, null)).as("data after the caller's last event").isTrue();
		assertThat(filter.isBehind()).isFalse();
		assertThat(isNew(filter, "3")).isTrue();
	}

	@Test
	void eventsAfterTheCallersPositionAreNotFiltered() {
		ReplayFilter filter = new ReplayFilter("2");
		assertThat(isNew(filter, "3")).isTrue();
		assertThat(isNew(filter, "1")).isTrue();
		assertThat(filter.isBehind()).isFalse();
	}

	@Test
	void streamThatContinuesAtTheCallersPositionIsNotBehind() {
		ReplayFilter filter = new ReplayFilter("2");
		assertThat(filter.isBehind()).isFalse();
		assertThat(filter.filter(new StreamEvent(null, false, new byte[0]))).as("a comment").hasSize(1);
	}

	@Test
	void leadingDataWithoutIdIsHeldUntilTheNextId() {
		ReplayFilter continued = new ReplayFilter("2");
		assertThat(continued.filter(event(null))).isEmpty();
		assertThat(continued.isBehind()).as("undecided until the next id").isTrue();
		assertThat(continued.filter(event("3"))).hasSize(2);
		assertThat(continued.isBehind()).isFalse();
		ReplayFilter restarted = new ReplayFilter("2");
		assertThat(restarted.filter(event(null))).isEmpty();
		assertThat(restarted.filter(event("1"))).isEmpty();
		assertThat(restarted.filter(event("2"))).isEmpty();
		assertThat(restarted.filter(event("3"))).hasSize(1);
	}

	@Test
	void lastEventWithNonNumericIdIsNotRepeated() {
		ReplayFilter filter = new ReplayFilter("b");
		assertThat(isNew(filter, "b")).isFalse();
		assertThat(isNew(filter, "c")).isTrue();
	}

}
