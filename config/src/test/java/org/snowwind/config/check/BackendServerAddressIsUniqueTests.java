package org.snowwind.config.check;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BackendServerAddressIsUniqueTests {

	private final ResourceCheck check = new BackendServerAddressIsUnique();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.server("b", "10.0.0.1:720"),
				CheckFixture.server("a", "10.0.0.2:720")))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check, CheckFixture.server("b", "10.0.0.1:720"),
				CheckFixture.server("a", "10.0.0.1:720")))
			.hasSize(1);
	}

}
