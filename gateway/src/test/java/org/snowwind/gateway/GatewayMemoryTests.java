package org.snowwind.gateway;

import java.util.List;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.Test;
import org.snowwind.decide.choice.MemoryNeed;
import org.snowwind.gateway.backend.MemoryShortage;
import org.snowwind.gateway.table.EngineProfile;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GatewayMemory}.
 */
class GatewayMemoryTests {

	private static final EngineProfile ENGINE = new EngineProfile(2, 1000, 6, 5, 0.5, 0.01, 70_000, 0, 0, 0, 0, 0, 0,
			0);

	private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

	private GatewayMemory create(long memoryMegabytes) {
		GatewayMemory memory = new GatewayMemory(memoryMegabytes);
		memory.registerMeters(this.registry, new MemoryShortage());
		return memory;
	}

	private List<String> meters() {
		return this.registry.getMeters().stream().map((meter) -> meter.getId().getName()).sorted().toList();
	}

	@Test
	void nothingIsBoundedCheckedOrMeasuredWithoutTheFeature() {
		GatewayMemory memory = create(0);
		assertThat(memory.heldBytes().isBounded()).isFalse();
		assertThat(memory.sizes().recordArrival("s", ENGINE, 5000, 1)).isEqualTo(MemoryNeed.UNCHECKED);
		assertThat(meters()).isEmpty();
	}

	@Test
	void smallVmBoundsWhatIsHeldAndSizesAreChecked() {
		GatewayMemory memory = create(8);
		assertThat(memory.heldBytes().boundBytes()).isEqualTo(2 * 1024 * 1024);
		assertThat(memory.sizes().recordArrival("s", ENGINE, 5000, 1).exceedsServer()).isTrue();
		assertThat(meters()).containsExactly("snowwind.gateway.held.bound.bytes", "snowwind.gateway.held.bytes",
				"snowwind.gateway.held.connections.closed", "snowwind.gateway.servers.short.of.memory");
	}

	@Test
	void memoryOfTheProcessBoundsWhatIsHeldInALargeVm() {
		assertThat(create(1_000_000).heldBytes().boundBytes())
			.isLessThanOrEqualTo(Runtime.getRuntime().maxMemory() / 4);
	}

}
