package org.snowwind.gateway.registry;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UnreadableEntries} and of how {@link RegistryWatcher} uses it.
 */
class UnreadableEntriesTests {

	private final UnreadableEntries entries = new UnreadableEntries();

	@Test
	void anEntryCountsUntilItCanBeRead() {
		this.entries.unreadable("a", "odd");
		this.entries.unreadable("a", "odd");
		this.entries.unreadable("b", "odd");
		assertThat(this.entries.count()).isEqualTo(2);
		this.entries.readable("a");
		assertThat(this.entries.count()).isEqualTo(1);
	}

	@Test
	void aFloodOfNamesIsBounded() {
		for (int i = 0; i < 10_000; i++) {
			this.entries.unreadable("x".repeat(500) + i, "odd".repeat(500));
			this.entries.unreadable("y" + i, "odd");
		}
		assertThat(this.entries.count()).isEqualTo(UnreadableEntries.MOST);
	}

	@Test
	void whatIsNoLongerListedIsForgotten() {
		this.entries.unreadable("a", "odd");
		this.entries.unreadable("b", "odd");
		this.entries.retain(List.of("b"));
		assertThat(this.entries.count()).isEqualTo(1);
	}

}
