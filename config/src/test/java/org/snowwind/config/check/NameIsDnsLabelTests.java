package org.snowwind.config.check;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class NameIsDnsLabelTests {

	private final ResourceCheck check = new NameIsDnsLabel();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.organisation("atlas-1"))).isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check, CheckFixture.organisation("Atlas Forme"))).hasSize(1);
		assertThat(CheckFixture.check(this.check, CheckFixture.organisation("-atlas"))).hasSize(1);
	}

}
