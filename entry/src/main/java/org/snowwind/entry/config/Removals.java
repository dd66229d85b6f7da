package org.snowwind.entry.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.model.EraRevision;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKey;

/**
 * Remembers which resources were removed lately, so that peers need be sent only changes.
 */
final class Removals {

	private static final int REMEMBERED = 1024;

	private final Deque<Removal> recent = new ArrayDeque<>();

	/** Removals after this revision are all known, {@code null} if none is. */
	private EraRevision knownSince;

	void note(Snapshot before, Snapshot after) {
		if (this.knownSince == null) {
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
	List<ResourceKey> since(EraRevision revision) {
		if (this.knownSince == null || this.knownSince.isNewerThan(revision)) {
			return null;
		}
		return this.recent.stream()
			.filter((removal) -> removal.revision().isNewerThan(revision))
			.map(Removal::key)
			.toList();
	}

	/**
	 * Returns whether an object in a restored store is older than the removal of its
	 * resource in an earlier era. Revisions up to that of the copy are the same in both
	 * eras.
	 * @param key the resource
	 * @param revision the object's revision
	 * @return true if it may have been removed since; also for a resource that was
	 * created again under a revision that was given out again
	 */
	boolean isOlderThanRemoval(ResourceKey key, EraRevision revision) {
		return this.recent.stream()
			.anyMatch((removal) -> removal.key().equals(key) && removal.revision().era() < revision.era()
					&& revision.number() < removal.revision().number());
	}

	private record Removal(EraRevision revision, ResourceKey key) {
	}

}
