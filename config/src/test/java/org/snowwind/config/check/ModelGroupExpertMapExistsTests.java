package org.snowwind.config.check;

import org.junit.jupiter.api.Test;
import org.snowwind.model.resource.ExpertMapSpec;
import org.snowwind.model.resource.ModelGroupSpec;
import org.snowwind.model.resource.ResourceKind;

import static org.assertj.core.api.Assertions.assertThat;

class ModelGroupExpertMapExistsTests {

	private final ResourceCheck check = new ModelGroupExpertMapExists();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.group("g", new ModelGroupSpec("chat", 1, 1, 1, 1, "m")),
				CheckFixture.resource(ResourceKind.EXPERT_MAP, "m", new ExpertMapSpec(null))))
			.isEmpty();
		assertThat(
				CheckFixture.check(this.check, CheckFixture.group("g", new ModelGroupSpec("chat", 1, 1, 0, 0, null))))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check,
				CheckFixture.group("g", new ModelGroupSpec("chat", 1, 1, 1, 1, "nowhere"))))
			.hasSize(1);
	}

}
