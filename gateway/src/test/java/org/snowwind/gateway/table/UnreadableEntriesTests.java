package org.snowwind.gateway.table;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.snowwind.model.event.Event;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UnreadableEntries}.
 */
class UnreadableEntriesTests {

	private final UnreadableEntries entries = new UnreadableEntries(Event.SERVER_UNREADABLE, "server");

	@Test
	void entryIsCountedUntilItCanBeRead() {
		this.entries.recordUnreadable("a", "odd");
		this.entries.recordUnreadable("a", "odd");
		this.entries.recordUnreadable("b", "odd");
		assertThat(this.entries.count()).isEqualTo(2);
		this.entries.clear("a");
		assertThat(this.entries.count()).isEqualTo(1);
	}

	@Test
	void numberOfRememberedEntriesIsBounded() {
		for (int i = 0; i < 10_000; i++) {
			this.entries.recordUnreadable("x".repeat(500) + i, "odd".repeat(500));
			this.entries.recordUnreadable("y" + i, "odd");
		}
		assertThat(this.entries.count()).isEqualTo(UnreadableEntries.MAX_ENTRIES);
	}

	@Test
	void entriesThatAreNoLongerListedAreForgotten() {
		this.entries.recordUnreadable("a", "odd");
		this.entries.recordUnreadable("b", "odd");
		this.entries.retainOnly(List.of("b"));
		assertThat(this.entries.count()).isEqualTo(1);
	}

}
