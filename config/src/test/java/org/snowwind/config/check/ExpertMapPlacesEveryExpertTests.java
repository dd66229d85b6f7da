package org.snowwind.config.check;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.snowwind.model.resource.ExpertMapSpec;
import org.snowwind.model.resource.ModelGroupSpec;
import org.snowwind.model.resource.ResourceKind;

import static org.assertj.core.api.Assertions.assertThat;

class ExpertMapPlacesEveryExpertTests {

	private final ResourceCheck check = new ExpertMapPlacesEveryExpert();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check,
				CheckFixture.resource(ResourceKind.EXPERT_MAP, "m",
						new ExpertMapSpec(
								List.of(List.of(List.<Integer>of(0), List.<Integer>of(1), List.<Integer>of(0, 1))))),
				CheckFixture.group("g", new ModelGroupSpec("chat", 2, 1, 3, 2, "m"))))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check,
				CheckFixture.resource(ResourceKind.EXPERT_MAP, "m",
						new ExpertMapSpec(
								List.of(List.of(List.<Integer>of(0), List.<Integer>of(1), List.<Integer>of())))),
				CheckFixture.group("g", new ModelGroupSpec("chat", 2, 1, 3, 2, "m"))))
			.hasSize(1);
		assertThat(CheckFixture.check(this.check,
				CheckFixture.resource(ResourceKind.EXPERT_MAP, "m",
						new ExpertMapSpec(
								List.of(List.of(List.<Integer>of(0), List.<Integer>of(0), List.<Integer>of(0))))),
				CheckFixture.group("g", new ModelGroupSpec("chat", 2, 1, 3, 2, "m"))))
			.hasSize(1);
		assertThat(CheckFixture.check(this.check,
				CheckFixture.resource(ResourceKind.EXPERT_MAP, "m",
						new ExpertMapSpec(
								List.of(List.of(List.<Integer>of(0), List.<Integer>of(1), List.<Integer>of(2))))),
				CheckFixture.group("g", new ModelGroupSpec("chat", 2, 1, 3, 2, "m"))))
			.hasSize(1);
		assertThat(CheckFixture.check(this.check,
				CheckFixture.resource(ResourceKind.EXPERT_MAP, "m",
						new ExpertMapSpec(List.of(List.of(List.<Integer>of(0), List.<Integer>of(1))))),
				CheckFixture.group("g", new ModelGroupSpec("chat", 2, 1, 3, 2, "m"))))
			.hasSize(1);
	}

}
