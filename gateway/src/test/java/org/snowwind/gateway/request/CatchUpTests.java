package org.snowwind.gateway.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CatchUp}.
 */
class CatchUpTests {

	private static StreamEvent event(String id) {
		return new StreamEvent(id, true, new byte[0]);
	}

	@Test
	void aStreamThatBeginsLeavesNothingOut() {
		CatchUp catchUp = new CatchUp(null);
		assertThat(catchUp.isNew(event("2"))).isTrue();
		assertThat(catchUp.isNew(event("1"))).isTrue();
		assertThat(catchUp.isNew(event(null))).isTrue();
		assertThat(catchUp.behind()).isFalse();
	}

	@Test
	void whatTheCallerHasIsLeftOut() {
		CatchUp catchUp = new CatchUp("2");
		assertThat(catchUp.isNew(event("1"))).isFalse();
		assertThat(catchUp.isNew(event(null))).as("it follows the first").isFalse();
		assertThat(catchUp.behind()).isTrue();
		assertThat(catchUp.isNew(event("2"))).isFalse();
		assertThat(catchUp.isNew(event(null))).as("it follows the caller's last").isTrue();
		assertThat(catchUp.behind()).isFalse();
		assertThat(catchUp.isNew(event("3"))).isTrue();
	}

	@Test
	void beyondThePositionNothingIsLeftOut() {
		CatchUp catchUp = new CatchUp("2");
		assertThat(catchUp.isNew(event("3"))).isTrue();
		assertThat(catchUp.isNew(event("1"))).isTrue();
		assertThat(catchUp.behind()).isFalse();
	}

	@Test
	void aServerThatGoesOnAtOnceIsNotBehind() {
		CatchUp catchUp = new CatchUp("2");
		assertThat(catchUp.behind()).isFalse();
		assertThat(catchUp.isNew(event(null))).isTrue();
	}

	@Test
	void anIdThatIsNoNumberIsLeftOutIfItIsTheLast() {
		CatchUp catchUp = new CatchUp("b");
		assertThat(catchUp.isNew(event("b"))).isFalse();
		assertThat(catchUp.isNew(event("c"))).isTrue();
	}

}
