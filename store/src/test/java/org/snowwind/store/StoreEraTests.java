package org.snowwind.store;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StoreEra}.
 */
class StoreEraTests {

	private final StoreEra era = new StoreEra();

	@Test
	void storeThatReportsNoEraIsInEraZero() {
		assertThat(this.era.observe(null)).isZero();
		assertThat(this.era.observe("?")).isZero();
		assertThat(this.era.observe("-3")).isZero();
		assertThat(this.era.newest()).isZero();
	}

	@Test
	void lateResponseOfEraZeroIsNotOfTheNewestEra() {
		assertThat(this.era.observe("0")).isZero();
		assertThat(this.era.observe("1")).isEqualTo(1);
		assertThat(this.era.observe("0")).isZero();
		assertThat(this.era.newest()).isEqualTo(1);
	}

	@Test
	void responseWithoutEraIsOfTheNewestOne() {
		this.era.observe("4");
		assertThat(this.era.observe(null)).isEqualTo(4);
	}

}
