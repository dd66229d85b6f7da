package org.snowwind.entry.limit;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.snowwind.model.ManualClock;
import org.snowwind.model.outcome.ProblemKind;
import org.snowwind.model.resource.OrganisationSpec;

import static org.assertj.core.api.Assertions.assertThat;

class OrganisationGatesTests {

	private final ManualClock clock = new ManualClock(0);

	private final OrganisationGates gates = new OrganisationGates(this.clock);

	private static OrganisationSpec limits(double perSecond, int burst, int open) {
		return new OrganisationSpec(List.of(), 1, perSecond, burst, open, 1000);
	}

	@Test
	void oneOrganisationOverItsRateLeavesOthersAlone() {
		OrganisationSpec limits = limits(10, 1, 100);
		assertThat(this.gates.enter("a", limits)).isNull();
		assertThat(this.gates.enter("a", limits).kind()).isEqualTo(ProblemKind.RATE_LIMITED);
		assertThat(this.gates.enter("b", limits)).isNull();
	}

	@Test
	void aRefusalSaysWhenToComeBackAndThatIsTrue() {
		OrganisationSpec limits = limits(10, 1, 100);
		this.gates.enter("a", limits);
		long waitMillis = this.gates.enter("a", limits).retryAfterMillis();
		this.clock.advance(waitMillis);
		assertThat(this.gates.enter("a", limits)).isNull();
	}

	@Test
	void openRequestsAreBoundedUntilTheyLeave() {
		OrganisationSpec limits = limits(1000, 1000, 1);
		this.gates.enter("a", limits);
		assertThat(this.gates.enter("a", limits).kind()).isEqualTo(ProblemKind.TOO_MANY_OPEN);
		this.gates.leave("a");
		assertThat(this.gates.enter("a", limits)).isNull();
	}

	@Test
	void theRateIsSharedByTheLiveEntries() {
		this.gates.liveEntries(4);
		OrganisationSpec limits = limits(40, 1, 100);
		this.gates.enter("a", limits);
		assertThat(this.gates.enter("a", limits).retryAfterMillis()).isEqualTo(100);
	}

}
