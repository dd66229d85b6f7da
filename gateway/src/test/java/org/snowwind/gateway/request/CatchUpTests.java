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

	private static boolean isNew(CatchUp catchUp, String id) {
		StreamEvent event = event(id);
		return catchUp.newOnes(event).contains(event);
	}

	@Test
	void aStreamThatBeginsLeavesNothingOut() {
		CatchUp catchUp = new CatchUp(null);
		assertThat(isNew(catchUp, "2")).isTrue();
		assertThat(isNew(catchUp, "1")).isTrue();
		assertThat(isNew(catchUp, null)).isTrue();
		assertThat(catchUp.behind()).isFalse();
	}

	@Test
	void whatTheCallerHasIsLeftOut() {
		CatchUp catchUp = new CatchUp("2");
		assertThat(isNew(catchUp, "1")).isFalse();
		assertThat(isNew(catchUp, null)).as("it follows the first").isFalse();
		assertThat(catchUp.behind()).isTrue();
		assertThat(isNew(catchUp, "2")).isFalse();
		assertThat(isNew(catchUp, null)).as("it follows the caller's last").isTrue();
		assertThat(catchUp.behind()).isFalse();
		assertThat(isNew(catchUp, "3")).isTrue();
	}

	@Test
	void beyondThePositionNothingIsLeftOut() {
		CatchUp catchUp = new CatchUp("2");
		assertThat(isNew(catchUp, "3")).isTrue();
		assertThat(isNew(catchUp, "1")).isTrue();
		assertThat(catchUp.behind()).isFalse();
	}

	@Test
	void aServerThatGoesOnAtOnceIsNotBehind() {
		CatchUp catchUp = new CatchUp("2");
		assertThat(catchUp.behind()).isFalse();
		assertThat(catchUp.newOnes(new StreamEvent(null, false, new byte[0]))).as("a comment").hasSize(1);
	}

	@Test
	void dataWithoutAnIdAtTheBeginningWaitsForTheNextId() {
		CatchUp goesOn = new CatchUp("2");
		assertThat(goesOn.newOnes(event(null))).isEmpty();
		assertThat(goesOn.behind()).as("it cannot be told yet").isTrue();
		assertThat(goesOn.newOnes(event("3"))).hasSize(2);
		assertThat(goesOn.behind()).isFalse();
		CatchUp beginsAnew = new CatchUp("2");
		assertThat(beginsAnew.newOnes(event(null))).isEmpty();
		assertThat(beginsAnew.newOnes(event("1"))).isEmpty();
		assertThat(beginsAnew.newOnes(event("2"))).isEmpty();
		assertThat(beginsAnew.newOnes(event("3"))).hasSize(1);
	}

	@Test
	void anIdThatIsNoNumberIsLeftOutIfItIsTheLast() {
		CatchUp catchUp = new CatchUp("b");
		assertThat(isNew(catchUp, "b")).isFalse();
		assertThat(isNew(catchUp, "c")).isTrue();
	}

}
