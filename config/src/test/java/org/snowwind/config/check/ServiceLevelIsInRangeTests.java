package org.snowwind.config.check;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.ServiceLevel;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceLevelIsInRangeTests {

	private final ResourceCheck check = new ServiceLevelIsInRange();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.organisation("a"))).isEmpty();
		assertThat(
				CheckFixture.check(this.check,
						CheckFixture.resource(ResourceKind.ORGANISATION, "a",
								new OrganisationSpec(List.of(), 1, 1, 1, 1, 1, new ServiceLevel(0.99, 100, 1000)))))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(
				CheckFixture.check(this.check,
						CheckFixture.resource(ResourceKind.ORGANISATION, "a",
								new OrganisationSpec(List.of(), 1, 1, 1, 1, 1, new ServiceLevel(1, 100, 1000)))))
			.hasSize(1);
		assertThat(
				CheckFixture.check(this.check,
						CheckFixture.resource(ResourceKind.ORGANISATION, "a",
								new OrganisationSpec(List.of(), 1, 1, 1, 1, 1, new ServiceLevel(0.99, 0, 1000)))))
			.hasSize(1);
		assertThat(
				CheckFixture.check(this.check,
						CheckFixture.resource(ResourceKind.ORGANISATION, "a",
								new OrganisationSpec(List.of(), 1, 1, 1, 1, 1, new ServiceLevel(0.99, 100, 50)))))
			.hasSize(1);
	}

}
