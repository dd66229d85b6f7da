package org.snowwind.config.check;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BackendServerAddressIsIpAndPortTests {

	private final ResourceCheck check = new BackendServerAddressIsIpAndPort();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.server("s", "10.0.0.1:720"))).isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check, CheckFixture.server("s", "server-1:720"))).hasSize(1);
		assertThat(CheckFixture.check(this.check, CheckFixture.server("s", "10.0.0.1:99999"))).hasSize(1);
	}

}
