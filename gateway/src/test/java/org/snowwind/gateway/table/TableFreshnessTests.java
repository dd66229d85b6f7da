package org.snowwind.gateway.table;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowwind.model.EraRevision;
import org.snowwind.model.ManualClock;
import org.snowwind.store.Freshness;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TableFreshness}.
 */
class TableFreshnessTests {

	private static final long BOUND_MILLIS = 2000;

	private final ManualClock clock = new ManualClock(0);

	private final TableHolder tables = new TableHolder();

	private final Freshness confirmations = new Freshness(this.clock);

	private final TableFreshness freshness = new TableFreshness(this.tables, this.confirmations, BOUND_MILLIS,
			this.clock);

	@BeforeEach
	void confirmByStore() {
		this.confirmations.answered(0, EraRevision.ofLong(1), EraRevision.ofLong(1), EraRevision.ofLong(1));
	}

	private void applyTable(long version) {
		this.tables.offer(new RouteTable(version, List.of(), Map.of(), OpenAccess.INSTANCE,
				new RequestLimits(1000, 1000), new byte[0]), "test");
	}

	@Test
	void behindTimeStartsAtFirstNewerPeerVersion() {
		applyTable(3);
		this.freshness.recordPeerVersion(4, "a:1");
		this.clock.advance(100);
		this.freshness.recordPeerVersion(6, "b:1");
		this.clock.advance(200);
		assertThat(this.freshness.state()).isEqualTo(new TableFreshness.State(3, 300, 6, "b:1", 300));
		assertThat(this.freshness.state().isBehind()).isTrue();
	}

	@Test
	void newerTableEndsBeingBehind() {
		applyTable(3);
		this.freshness.recordPeerVersion(4, "a:1");
		this.clock.advance(100);
		applyTable(4);
		assertThat(this.freshness.state()).isEqualTo(new TableFreshness.State(4, 100, 4, "a:1", 0));
		this.clock.advance(500);
		this.freshness.recordPeerVersion(9, "a:1");
		this.clock.advance(50);
		assertThat(this.freshness.state().behindMillis()).isEqualTo(50);
	}

	@Test
	void olderOrEqualPeerVersionIsIgnored() {
		applyTable(3);
		this.freshness.recordPeerVersion(3, "a:1");
		this.freshness.recordPeerVersion(1, "b:1");
		assertThat(this.freshness.state().isBehind()).isFalse();
	}

	@Test
	void refusalIsNotFinalWhilePeerHasNewerTable() {
		applyTable(3);
		assertThat(this.freshness.isRefusalFinal()).isTrue();
		this.freshness.recordPeerVersion(4, "a:1");
		assertThat(this.freshness.isRefusalFinal()).isFalse();
		applyTable(4);
		assertThat(this.freshness.isRefusalFinal()).isTrue();
	}

	@Test
	void refusalIsNotFinalWhileTableIsUnconfirmedForLongerThanBound() {
		applyTable(3);
		this.clock.advance(BOUND_MILLIS + 1);
		assertThat(this.freshness.isRefusalFinal()).isFalse();
		this.confirmations.answered(this.clock.nowMillis(), EraRevision.ofLong(1), EraRevision.ofLong(1),
				EraRevision.ofLong(1));
		assertThat(this.freshness.isRefusalFinal()).isTrue();
	}

	@Test
	void peerVersionThatNeverArrivesDoesNotBlockFinalRefusals() {
		applyTable(3);
		this.freshness.recordPeerVersion(Long.MAX_VALUE, "a:1");
		this.clock.advance(BOUND_MILLIS + 1);
		this.confirmations.answered(this.clock.nowMillis(), EraRevision.ofLong(1), EraRevision.ofLong(1),
				EraRevision.ofLong(1));
		assertThat(this.freshness.isRefusalFinal()).isTrue();
	}

}
