package org.snowwind.entry.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKey;

/**
 * Remembers which resources were removed lately, so that peers need be sent only changes.
 */
final class Removals {

	private static final int REMEMBERED = 1024;

	private final Deque<Removal> recent = new ArrayDeque<>();

	/** Removals after this revision are all known. */
	private long knownSince = Long.MAX_VALUE;

	void note(Snapshot before, Snapshot after) {
		if (this.knownSince == Long.MAX_VALUE) {
			this.knownSince = after.revision();
			return;
		}
		for (Resource resource : before.resources().all()) {
			ResourceKey key = resource.key();
			if (after.resources().find(key.kind(), key.name()).isEmpty()) {
				this.recent.addLast(new Removal(after.revision(), key));
			}
		}
		while (this.recent.size() > REMEMBERED) {
			this.knownSince = this.recent.removeFirst().revision();
		}
	}

	/**
	 * Lists removals.
	 * @param revision removals after this revision
	 * @return their keys, {@code null} if some may be forgotten
	 */
	List<ResourceKey> since(long revision) {
		if (revision < this.knownSince) {
			return null;
		}
		return this.recent.stream().filter((removal) -> removal.revision() > revision).map(Removal::key).toList();
	}

	private record Removal(long revision, ResourceKey key) {
	}

}
