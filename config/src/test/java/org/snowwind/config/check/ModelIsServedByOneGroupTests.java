package org.snowwind.config.check;

import org.junit.jupiter.api.Test;
import org.snowwind.model.resource.ModelGroupSpec;

import static org.assertj.core.api.Assertions.assertThat;

class ModelIsServedByOneGroupTests {

	private final ResourceCheck check = new ModelIsServedByOneGroup();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.group("b", new ModelGroupSpec("chat", 1, 1, 0, 0, null)),
				CheckFixture.group("a", new ModelGroupSpec("other", 1, 1, 0, 0, null))))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check, CheckFixture.group("b", new ModelGroupSpec("chat", 1, 1, 0, 0, null)),
				CheckFixture.group("a", new ModelGroupSpec("chat", 1, 1, 0, 0, null))))
			.hasSize(1);
	}

}
