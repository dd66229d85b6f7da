package org.snowwind.config.check;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.ResourceKind;

import static org.assertj.core.api.Assertions.assertThat;

class OrganisationLimitsAreInRangeTests {

	private final ResourceCheck check = new OrganisationLimitsAreInRange();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.organisation("a"))).isEmpty();
		assertThat(CheckFixture.check(this.check, CheckFixture.resource(ResourceKind.ORGANISATION, "a",
				new OrganisationSpec(List.of(), 2, 5, 5, 5, 100))))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check, CheckFixture.resource(ResourceKind.ORGANISATION, "a",
				new OrganisationSpec(List.of(), -1, 5, 5, 5, 100))))
			.hasSize(1);
		assertThat(CheckFixture.check(this.check, CheckFixture.resource(ResourceKind.ORGANISATION, "a",
				new OrganisationSpec(List.of(), 1, -5, 5, 5, 100))))
			.hasSize(1);
		assertThat(CheckFixture.check(this.check, CheckFixture.resource(ResourceKind.ORGANISATION, "a",
				new OrganisationSpec(List.of(), 1, 5, 5, 5, 1 << 30))))
			.hasSize(1);
	}

}
