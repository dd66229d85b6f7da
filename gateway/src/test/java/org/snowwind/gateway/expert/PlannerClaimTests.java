package org.snowwind.gateway.expert;

import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PlannerClaim}.
 */
class PlannerClaimTests {

	private static final Set<String> ALONE = Set.of();

	@Test
	void theFirstByNameClaimsWhatNobodyHas() {
		assertThat(new PlannerClaim(0).stands(0, Set.of("b", "c"), "a")).isTrue();
		assertThat(new PlannerClaim(0).stands(0, Set.of("a", "c"), "b")).isFalse();
		assertThat(new PlannerClaim(0).stands(0, ALONE, "b")).isTrue();
	}

	@Test
	void nobodyClaimsWhatAPeerHas() {
		assertThat(new PlannerClaim(0).stands(7, ALONE, "a")).isFalse();
	}

	@Test
	void aPlannerStaysWhateverItsName() {
		assertThat(new PlannerClaim(7).stands(0, Set.of("a"), "b")).isTrue();
	}

	@Test
	void aPlannerStaysBesideAnOlderOne() {
		assertThat(new PlannerClaim(7).stands(6, ALONE, "b")).isTrue();
	}

	@Test
	void aPlannerLeavesAsSoonAsANewerOneIsHeardOf() {
		assertThat(new PlannerClaim(7).stands(8, ALONE, "a")).isFalse();
	}

}
