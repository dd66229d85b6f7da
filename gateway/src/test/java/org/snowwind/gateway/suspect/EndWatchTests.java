package org.snowwind.gateway.suspect;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EndWatch}: what counts as the end of a server, and for whom.
 */
class EndWatchTests {

	private static final boolean LOST = true;

	private static final boolean GIVEN_UP = false;

	private static final boolean GONE = true;

	private static final boolean THERE = false;

	private final ManualClock clock = new ManualClock(1000);

	private final Deque<Boolean> looks = new ArrayDeque<>();

	private final Deque<Runnable> due = new ArrayDeque<>();

	private final List<String> told = new ArrayList<>();

	private int asked;

	private final EndWatch watch = new EndWatch(this::ask, (millis, work) -> {
		assertThat(millis).isEqualTo(EndWatch.LOOK_AGAIN_MILLIS);
		this.due.add(work);
	}, this.clock, new Told());

	private void ask(String host, int port, Consumer<Boolean> gone) {
		this.asked++;
		gone.accept(this.looks.remove());
	}

	private static BackendEntry server(String id) {
		return new BackendEntry(id, 1, "service", "10.0.0.1", 80, "dc", 8, false);
	}

	private static Suspect request(String digest) {
		return new Suspect(digest, "org", List.of(), 100);
	}

	private void looks(boolean... answers) {
		for (boolean answer : answers) {
			this.looks.add(answer);
		}
	}

	private void lookAgain() {
		this.clock.advance(EndWatch.LOOK_AGAIN_MILLIS);
		this.due.remove().run();
	}

	@Test
	void whereTwoConnectionsAreRefusedTheServerEnded() {
		looks(GONE, GONE);
		this.watch.broke(server("s"), request("1-a"), LOST);
		assertThat(this.told).as("after one look").isEmpty();
		lookAgain();
		assertThat(this.told).containsExactly("s ended under 1-a");
	}

	@Test
	void allThatWereThereAreTold() {
		looks(GONE, GONE);
		this.watch.broke(server("s"), request("1-a"), LOST);
		this.watch.broke(server("s"), request("1-b"), LOST);
		this.watch.broke(server("s"), request("1-c"), GIVEN_UP);
		lookAgain();
		this.watch.broke(server("s"), request("1-d"), GIVEN_UP);
		assertThat(this.told).containsExactlyInAnyOrder("s ended under 1-a", "s ended under 1-b", "s ended under 1-c",
				"s ended under 1-d");
		assertThat(this.asked).as("connections opened").isEqualTo(2);
	}

	@Test
	void whatWasGivenUpBeforeTheEndWasNotThere() {
		looks(GONE, GONE);
		this.watch.broke(server("s"), request("1-silent"), GIVEN_UP);
		assertThat(this.asked).isZero();
		this.watch.broke(server("s"), request("1-a"), LOST);
		lookAgain();
		assertThat(this.told).containsExactly("s ended under 1-a");
	}

	@Test
	void aServerThatTakesConnectionsHasNotEnded() {
		looks(THERE, THERE);
		this.watch.broke(server("s"), request("1-a"), LOST);
		lookAgain();
		assertThat(this.told).isEmpty();
		assertThat(this.due).isEmpty();
	}

	@Test
	void aServerThatIsFullForAMomentHasNotEnded() {
		looks(GONE, THERE);
		this.watch.broke(server("s"), request("1-a"), LOST);
		lookAgain();
		assertThat(this.told).isEmpty();
	}

	@Test
	void aProcessThatListensAMomentLongerHasEnded() {
		looks(THERE, GONE, GONE);
		this.watch.broke(server("s"), request("1-a"), LOST);
		lookAgain();
		lookAgain();
		assertThat(this.told).containsExactly("s ended under 1-a");
	}

	@Test
	void aByteThatComesMeanwhileShowsThatItHasNotEnded() {
		looks(GONE, GONE);
		this.watch.broke(server("s"), request("1-a"), LOST);
		this.clock.advance(EndWatch.ON_THE_WAY_MILLIS + 1);
		this.watch.heard(new BackendIncarnation("s", 1));
		lookAgain();
		assertThat(this.told).isEmpty();
	}

	@Test
	void aByteThatComesLaterTakesTheEndBack() {
		looks(GONE, GONE);
		this.watch.broke(server("s"), request("1-a"), LOST);
		lookAgain();
		this.watch.heard(new BackendIncarnation("s", 1));
		assertThat(this.told).containsExactly("s ended under 1-a", "s lives");
	}

	@Test
	void aByteThatWasOnItsWayOrOfAnotherLifeShowsNothing() {
		looks(GONE, GONE);
		this.watch.broke(server("s"), request("1-a"), LOST);
		this.watch.heard(new BackendIncarnation("s", 1));
		this.clock.advance(EndWatch.ON_THE_WAY_MILLIS + 1);
		this.watch.heard(new BackendIncarnation("s", 2));
		lookAgain();
		assertThat(this.told).containsExactly("s ended under 1-a");
	}

	@Test
	void whenVeryManyServersBreakAtOnceSomeAreLeftOut() {
		for (int i = 0; i < EndWatch.MOST_CASES + 10; i++) {
			looks(GONE);
			this.watch.broke(server("s" + i), request("1-a"), LOST);
		}
		assertThat(this.asked).isEqualTo(EndWatch.MOST_CASES);
	}

	private final class Told implements EndWatch.Listener {

		@Override
		public void ended(BackendEntry server, Suspect request) {
			EndWatchTests.this.told.add(server.id() + " ended under " + request.digest());
		}

		@Override
		public void lives(BackendIncarnation server) {
			EndWatchTests.this.told.add(server.id() + " lives");
		}

	}

}
