package org.snowwind.config.check;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OrganisationHasKeyTests {

	private final ResourceCheck check = new OrganisationHasKey();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.organisation("a", CheckFixture.DIGEST))).isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check, CheckFixture.organisation("a"))).hasSize(1);
		assertThat(CheckFixture.check(this.check, CheckFixture.organisation("a", "x", "y", "z"))).hasSize(1);
	}

}
