package org.snowwind.entry.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.model.EraRevision;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.ServiceSpec;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigHolderTests {

	private static Snapshot snapshot(long revision, String... services) {
		List<Resource> resources = new ArrayList<>();
		for (String service : services) {
			resources.add(new Resource(new ResourceKey(ResourceKind.SERVICE, service), 1, EraRevision.ofLong(revision),
					new ServiceSpec("test")));
		}
		return new Snapshot(EraRevision.ofLong(revision), ResourceSet.of(resources), ResourceSet.EMPTY, Map.of());
	}

	@Property(seed = "20261202")
	void whateverIsOfferedTheRevisionNeverFalls(
			@ForAll @Size(max = 20) List<@LongRange(min = 1, max = 9) Long> offered) {
		ConfigHolder holder = new ConfigHolder("test");
		long highest = 0;
		for (long revision : offered) {
			holder.offer(snapshot(revision));
			highest = Math.max(highest, revision);
			assertThat(holder.current().revision()).isEqualTo(EraRevision.ofLong(highest));
		}
	}

	@Test
	void aPeerComesToTheSameConfigurationByChanges() {
		ConfigHolder ahead = new ConfigHolder("ahead");
		ConfigHolder behind = new ConfigHolder("behind");
		ahead.offer(snapshot(1, "desk", "shop"));
		behind.offerEncoded(EraRevision.ofLong(1), ahead.encodedSince(EraRevision.NONE));
		ahead.offer(snapshot(2, "desk"));
		behind.offerEncoded(EraRevision.ofLong(2), ahead.encodedSince(behind.current().revision()));
		assertThat(behind.current().revision()).isEqualTo(EraRevision.ofLong(2));
		assertThat(behind.current().hasService("desk")).isTrue();
		assertThat(behind.current().hasService("shop")).isFalse();
	}

	@Test
	void aPeerWhoseRevisionIsTooOldGetsTheWhole() {
		ConfigHolder ahead = new ConfigHolder("ahead");
		ahead.offer(snapshot(5, "desk"));
		ahead.offer(snapshot(6, "desk"));
		ConfigHolder old = new ConfigHolder("old");
		old.offer(snapshot(2, "gone"));
		old.offerEncoded(EraRevision.ofLong(6), ahead.encodedSince(EraRevision.ofLong(2)));
		assertThat(old.current().revision()).isEqualTo(EraRevision.ofLong(6));
		assertThat(old.current().hasService("gone")).isFalse();
	}

}
