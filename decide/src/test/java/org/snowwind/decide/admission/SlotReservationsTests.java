package org.snowwind.decide.admission;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SlotReservationsTests {

	private static final int LIMIT = 8;

	private final SlotReservations guard = new SlotReservations((organisation) -> 1, 1000);

	private int begin(String organisation, int wanted, long nowMillis) {
		int begun = 0;
		for (int i = 0; i < wanted; i++) {
			this.guard.arrived(organisation, nowMillis);
			if (this.guard.mayBegin(organisation, LIMIT, nowMillis)) {
				this.guard.began(organisation);
				begun++;
			}
			else {
				this.guard.abandoned(organisation);
			}
		}
		return begun;
	}

	private void end(String organisation, int count) {
		for (int i = 0; i < count; i++) {
			this.guard.ended(organisation);
		}
	}

	@Test
	void aSingleOrganisationMayUseAllSlots() {
		assertThat(begin("flood", 20, 0)).isEqualTo(LIMIT);
	}

	@Test
	void slotsThatAnotherOrganisationNeededRecentlyAreReservedForIt() {
		end("quiet", begin("quiet", 2, 0));
		assertThat(begin("flood", 20, 1)).isEqualTo(LIMIT - 2);
		assertThat(begin("quiet", 2, 2)).isEqualTo(2);
	}

	@Test
	void noMoreThanItsShareIsReservedForAnOrganisation() {
		end("greedy", begin("greedy", LIMIT, 0));
		assertThat(begin("flood", 20, 1)).isEqualTo(LIMIT / 2);
	}

	@Test
	void slotsThatWereNeededLongAgoAreAvailableToAll() {
		end("quiet", begin("quiet", 2, 0));
		assertThat(begin("flood", 20, 10_000)).isEqualTo(LIMIT);
	}

	@Test
	void slotsOfAnOrganisationAreItsRunningWorkOrItsShare() {
		begin("flood", 6, 0);
		assertThat(this.guard.slots("flood", LIMIT, 1)).isEqualTo(LIMIT);
		assertThat(this.guard.slots("newcomer", LIMIT, 1)).isEqualTo(LIMIT / 2.0);
	}

	@Test
	void idleOrganisationsAreRemoved() {
		end("quiet", begin("quiet", 2, 0));
		this.guard.removeIdle(10_000);
		assertThat(begin("flood", 20, 10_000)).isEqualTo(LIMIT);
	}

}
