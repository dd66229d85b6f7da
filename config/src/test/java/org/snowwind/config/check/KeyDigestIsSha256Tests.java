package org.snowwind.config.check;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class KeyDigestIsSha256Tests {

	private final ResourceCheck check = new KeyDigestIsSha256();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.organisation("a", CheckFixture.DIGEST))).isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check, CheckFixture.organisation("a", "secret"))).hasSize(1);
	}

}
