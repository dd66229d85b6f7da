package org.snowwind.decide.limit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link RateAllocator}.
 */
class RateAllocatorTests {

	private static final long LEASE_MILLIS = 1000;

	/**
	 * Long enough after the first request for leases of an earlier coordinator to expire.
	 */
	private static final long SETTLED_MILLIS = 10_000;

	private final RateAllocator ledger = new RateAllocator();

	private long nowMillis = 5000;

	private RateGrant request(String process, double limit, double wanted, double held, int waiting) {
		return this.ledger.grant(process, new RateDemand(limit, wanted, held, waiting), true, LEASE_MILLIS,
				this.nowMillis);
	}

	private void settle(String process) {
		for (long elapsed = 0; elapsed < SETTLED_MILLIS; elapsed += LEASE_MILLIS / 2) {
			request(process, 10, 0, 0, 0);
			this.nowMillis += LEASE_MILLIS / 2;
		}
	}

	@Test
	void aNewCoordinatorGrantsNothingNewUntilEarlierLeasesHaveExpired() {
		assertThat(request("a", 10, 50, 0, 3).perSecond()).isZero();
		this.nowMillis += LEASE_MILLIS;
		assertThat(request("a", 10, 50, 0, 3)).isEqualTo(new RateGrant(10, 0, 1, 0, LEASE_MILLIS));
		this.nowMillis += LEASE_MILLIS;
		assertThat(request("a", 10, 50, 0, 3).perSecond()).isEqualTo(10);
	}

	@Test
	void aNewCoordinatorLetsProcessesKeepTheSharesThatTheyHold() {
		assertThat(request("a", 10, 50, 4, 0).perSecond()).isEqualTo(4);
		assertThat(request("b", 10, 50, 6, 0).perSecond()).isEqualTo(6);
	}

	@Test
	void aProcessThatIsNotTheCoordinatorGrantsNothingNew() {
		settle("a");
		RateGrant grant = this.ledger.grant("a", new RateDemand(10, 50, 0, 2), false, LEASE_MILLIS, this.nowMillis);
		assertThat(grant.perSecond() + grant.singles()).isZero();
	}

	@Test
	void sharesThatMayStillBeHeldAreNotGrantedAgain() {
		settle("a");
		assertThat(request("a", 10, 50, 0, 0).perSecond()).isEqualTo(10);
		this.nowMillis += LEASE_MILLIS / 2;
		assertThat(request("b", 10, 50, 0, 0).perSecond()).isZero();
		this.nowMillis += LEASE_MILLIS / 2;
		assertThat(request("b", 10, 50, 0, 0).perSecond()).isEqualTo(10);
	}

	@Test
	void aReducedShareCountsInFullWhileItsHolderMayNotKnowOfTheReduction() {
		settle("a");
		request("a", 10, 50, 0, 0);
		this.nowMillis += LEASE_MILLIS / 2;
		assertThat(request("a", 4, 50, 10, 0).perSecond()).isEqualTo(4);
		assertThat(request("b", 4, 50, 0, 0).perSecond()).isZero();
	}

	@Test
	void aServerWithALimitOfZeroIsSentRequestsAtTheLowestRate() {
		settle("a");
		int singles = 0;
		long fromMillis = this.nowMillis;
		while (this.nowMillis < fromMillis + 60_000) {
			singles += request("a", 0, 0.5, 0, 1).singles();
			this.nowMillis += 100;
		}
		assertThat(singles / 60.0).isCloseTo(RateAllocator.MIN_PER_SECOND, within(0.03));
	}

	@Test
	void aProcessWithLowDemandGetsSingleRequestsOfTheUnallocatedRate() {
		settle("a");
		assertThat(request("a", 2, 0.3, 0, 5).singles()).isEqualTo(2);
		assertThat(request("b", 2, 0.3, 0, 5).singles()).isZero();
		this.nowMillis += 500;
		assertThat(request("b", 2, 0.3, 0, 5).singles()).isEqualTo(1);
	}

	@Test
	void aHolderWithoutDemandReleasesItsShare() {
		settle("a");
		assertThat(request("a", 1, 50, 0, 0).perSecond()).isEqualTo(1);
		request("b", 1, 50, 0, 0);
		this.nowMillis += LEASE_MILLIS / 2;
		request("a", 1, 0, 1, 0);
		request("a", 1, 0, 0, 0);
		assertThat(request("b", 1, 50, 0, 0).perSecond()).isEqualTo(1);
	}

	@Test
	void processesWithExpiredLeasesAreRemoved() {
		settle("a");
		request("a", 10, 50, 0, 0);
		assertThat(this.ledger.removeExpired(this.nowMillis)).isFalse();
		assertThat(this.ledger.removeExpired(this.nowMillis + 2 * LEASE_MILLIS)).isTrue();
	}

}
