package org.snowwind.gateway.peer;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetSize}.
 */
class FleetSizeTests {

	private final FleetSize fleet = new FleetSize();

	@Test
	void startedGatewayWithoutLivePeersReportsUnknownSize() {
		this.fleet.observe(3, 0);
		assertThat(this.fleet.size()).isEqualTo(FleetSize.UNKNOWN);
	}

	@Test
	void gatewayAloneInPlatformListHasSizeOne() {
		this.fleet.listed(0);
		assertThat(this.fleet.size()).isEqualTo(1);
	}

	@Test
	void partitionedGatewayKeepsCountingOthers() {
		this.fleet.observe(6, 6);
		this.fleet.observe(6, 0);
		this.fleet.observe(0, 0);
		this.fleet.observe(2, 2);
		assertThat(this.fleet.size()).isEqualTo(7);
	}

	@Test
	void sizeDecreasesWhileMajorityIsLive() {
		this.fleet.observe(6, 6);
		this.fleet.observe(4, 4);
		assertThat(this.fleet.size()).isEqualTo(5);
	}

	@Test
	void knownPeersCountBeforeTheyAreLive() {
		this.fleet.observe(2, 1);
		this.fleet.observe(6, 1);
		assertThat(this.fleet.size()).isEqualTo(7);
	}

	@Test
	void platformListDoesNotDecreaseSize() {
		this.fleet.observe(6, 6);
		this.fleet.listed(2);
		assertThat(this.fleet.size()).isEqualTo(7);
	}

}
