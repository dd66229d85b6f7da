package org.snowwind.entry.config;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.config.snapshot.SnapshotCodec;
import org.snowwind.model.EraRevision;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.model.resource.ResourceKey;

/**
 * Holds the configuration in force; its revision never falls.
 */
public final class ConfigHolder {

	private final String name;

	private final List<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();

	private volatile Snapshot current = Snapshot.NONE;

	private final Removals removals = new Removals();

	/**
	 * Creates a holder without configuration.
	 * @param name the process's name, for the log
	 */
	public ConfigHolder(String name) {
		this.name = name;
	}

	/**
	 * Returns the configuration in force.
	 * @return the snapshot, {@link Snapshot#NONE} before the first
	 */
	public Snapshot current() {
		return this.current;
	}

	/**
	 * Asks to be told of each new configuration, on the thread that brings it.
	 * @param listener is told
	 */
	public void onChange(Consumer<Snapshot> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Puts a configuration in force unless it is older than the present one.
	 * @param next the configuration
	 * @return true if it is in force now
	 */
	public boolean offer(Snapshot next) {
		synchronized (this) {
			if (!next.revision().isNewerThan(this.current.revision())) {
				noteStale(next.revision());
				return false;
			}
			this.removals.note(this.current, next);
			this.current = next;
		}
		EventLog.log(Event.CONFIG_APPLIED, "entry", this.name, "revision", next.revision(), "resources",
				next.resources().all().size());
		this.listeners.forEach((listener) -> listener.accept(next));
		return true;
	}

	private void noteStale(EraRevision revision) {
		if (this.current.revision().isNewerThan(revision)) {
			EventLog.log(Event.CONFIG_STALE_IGNORED, "entry", this.name, "revision", revision, "inForce",
					this.current.revision());
		}
	}

	/**
	 * Offers a configuration that a peer encoded.
	 * @param revision its revision
	 * @param bytes the encoded snapshot, empty if the peer had none that is newer
	 */
	public void offerEncoded(EraRevision revision, byte[] bytes) {
		if (bytes.length == 0 || !revision.isNewerThan(this.current.revision())) {
			return;
		}
		try {
			offer(SnapshotCodec.decode(bytes, this.current));
		}
		catch (IOException ex) {
			EventLog.log(Event.CONFIG_REJECTED, "entry", this.name, "revision", revision, "reason", ex.getMessage());
		}
	}

	/**
	 * Returns whether a resource is not in force and was removed in an earlier era, and
	 * an object in a restored store is older than that.
	 * @param key the resource
	 * @param revision the object's revision
	 * @return true if the object must not bring the resource back
	 */
	synchronized boolean isOlderThanRemoval(ResourceKey key, EraRevision revision) {
		return this.current.resources().find(key.kind(), key.name()).isEmpty()
				&& this.removals.isOlderThanRemoval(key, revision);
	}

	/**
	 * Returns what a peer must learn to come to the configuration in force.
	 * @param haveRevision the revision that the peer has
	 * @return the changes since then, or the whole if they are no longer known
	 */
	public synchronized byte[] encodedSince(EraRevision haveRevision) {
		return SnapshotCodec.encode(this.current, haveRevision, this.removals.since(haveRevision));
	}

}
