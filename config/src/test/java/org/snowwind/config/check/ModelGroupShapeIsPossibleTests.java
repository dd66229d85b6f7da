package org.snowwind.config.check;

import org.junit.jupiter.api.Test;
import org.snowwind.model.resource.ModelGroupSpec;

import static org.assertj.core.api.Assertions.assertThat;

class ModelGroupShapeIsPossibleTests {

	private final ResourceCheck check = new ModelGroupShapeIsPossible();

	@Test
	void accepted() {
		assertThat(
				CheckFixture.check(this.check, CheckFixture.group("g", new ModelGroupSpec("chat", 4, 2, 16, 4, "m"))))
			.isEmpty();
		assertThat(
				CheckFixture.check(this.check, CheckFixture.group("g", new ModelGroupSpec("chat", 0, 0, 0, 0, null))))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(
				CheckFixture.check(this.check, CheckFixture.group("g", new ModelGroupSpec("chat", 4, 2, 16, 3, "m"))))
			.hasSize(1);
		assertThat(CheckFixture.check(this.check, CheckFixture.group("g", new ModelGroupSpec(null, 4, 2, 16, 4, "m"))))
			.hasSize(1);
	}

}
