package org.snowwind.http.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link HeldBytes}.
 */
class HeldBytesTests {

	private static final long BOUND_BYTES = 1000;

	private static final long STALL_MILLIS = 1000;

	private final HeldBytes held = new HeldBytes(BOUND_BYTES);

	private HeldBytes.Holder open() {
		return this.held.open(() -> {
		});
	}

	private HeldBytes.Holder waiting(long bytes, long sinceMillis) {
		HeldBytes.Holder holder = open();
		this.held.written(holder, bytes, sinceMillis);
		return holder;
	}

	@Test
	void boundFollowsFromTheSmallestMemory() {
		assertThat(HeldBytes.within(512, 64, 24).boundBytes()).isEqualTo(6);
		assertThat(HeldBytes.within(16, 64, 24).boundBytes()).isEqualTo(4);
		assertThat(HeldBytes.unbounded().isBounded()).isFalse();
	}

	@Test
	void nobodyIsNamedWithinTheBound() {
		waiting(BOUND_BYTES, 0);
		assertThat(this.held.removeExcess(60_000)).isEmpty();
	}

	@Test
	void callerThatTookNothingIsNamedBeforeAReaderWithMore() {
		HeldBytes.Holder reader = waiting(900, 0);
		HeldBytes.Holder stuck = waiting(300, 0);
		this.held.taken(reader, 100, STALL_MILLIS);
		assertThat(this.held.removeExcess(STALL_MILLIS)).contains(stuck);
		assertThat(this.held.removeExcess(STALL_MILLIS)).isEmpty();
		assertThat(this.held.sumBytes()).isEqualTo(800);
	}

	@Test
	void wholeResponseOfAnotherCallerIsSpared() {
		HeldBytes.Holder whole = open();
		HeldBytes.Holder stuck = waiting(300, 0);
		this.held.buffered(whole, 900);
		assertThat(this.held.removeExcess(STALL_MILLIS)).contains(stuck);
		assertThat(this.held.removeExcess(STALL_MILLIS)).isEmpty();
	}

	@Test
	void sumIsBoundedAlsoIfNobodyIsSlow() {
		HeldBytes.Holder small = open();
		HeldBytes.Holder large = open();
		this.held.buffered(small, 400);
		this.held.buffered(large, 700);
		assertThat(this.held.removeExcess(0)).contains(large);
		assertThat(this.held.sumBytes()).isEqualTo(400);
	}

	@Test
	void lateChangesOfAClosedConnectionDoNotCount() {
		HeldBytes.Holder named = waiting(1100, 0);
		assertThat(this.held.removeExcess(0)).contains(named);
		this.held.taken(named, 1100, 1);
		this.held.buffered(named, 50);
		this.held.remove(named);
		assertThat(this.held.sumBytes()).isZero();
		assertThat(this.held.allowsReading(named)).isFalse();
	}

	@Test
	void callerThatReadsNothingGetsNoMoreThanItsPart() {
		HeldBytes.Holder stuck = waiting(249, 0);
		assertThat(this.held.allowsReading(stuck)).isTrue();
		this.held.written(stuck, 1, 0);
		assertThat(this.held.allowsReading(stuck)).isFalse();
		this.held.taken(stuck, 125, 0);
		assertThat(this.held.allowsResuming(stuck)).isFalse();
		this.held.taken(stuck, 1, 0);
		assertThat(this.held.allowsResuming(stuck)).isTrue();
	}

	@Test
	void readingOnLeavesRoomForWholeResponses() {
		HeldBytes.Holder behind = waiting(10, 0);
		this.held.buffered(open(), 740);
		assertThat(this.held.allowsReading(behind)).isFalse();
	}

	/**
	 * Streams of 600 callers, a third of which read nothing, with whole responses in
	 * between.
	 */
	@Test
	void onlyCallersThatDoNotReadLoseTheirConnectionUnderLoad() {
		HeldBytes loaded = new HeldBytes(6_000_000);
		Random random = new Random(7);
		List<HeldBytes.Holder> readers = new ArrayList<>();
		List<HeldBytes.Holder> stuck = new ArrayList<>();
		List<HeldBytes.Holder> named = new ArrayList<>();
		for (int i = 0; i < 600; i++) {
			((i % 3 == 0) ? stuck : readers).add(loaded.open(() -> {
			}));
		}
		HeldBytes.Holder whole = loaded.open(() -> {
		});
		for (long nowMillis = 0; nowMillis < 20_000; nowMillis += 100) {
			long eventMillis = nowMillis;
			stuck.stream().filter(loaded::allowsReading).forEach((holder) -> loaded.written(holder, 700, eventMillis));
			readers.forEach((holder) -> {
				loaded.taken(holder, holder.untakenBytes(), eventMillis);
				loaded.written(holder, 200 + random.nextInt(1000), eventMillis);
			});
			loaded.buffered(whole, (nowMillis % 5000) * 500);
			for (Optional<HeldBytes.Holder> next = loaded.removeExcess(nowMillis); next
				.isPresent(); next = loaded.removeExcess(nowMillis)) {
				named.add(next.get());
			}
			assertThat(loaded.sumBytes()).isBetween(0L, loaded.boundBytes());
		}
		assertThat(named).isNotEmpty().doesNotHaveDuplicates().isSubsetOf(stuck);
		assertThat(loaded.closedConnections()).isEqualTo(named.size());
	}

}
