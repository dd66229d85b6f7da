package org.snowwind.config.check;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class KeyBelongsToOneOrganisationTests {

	private final ResourceCheck check = new KeyBelongsToOneOrganisation();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.organisation("b", CheckFixture.DIGEST),
				CheckFixture.organisation("a", "other")))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check, CheckFixture.organisation("b", CheckFixture.DIGEST),
				CheckFixture.organisation("a", CheckFixture.DIGEST)))
			.hasSize(1);
	}

}
