package org.snowwind.gateway.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.snowwind.gateway.table.DocumentException;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.ListResult;
import org.snowwind.store.StoreWatch;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchResult;

/**
 * Takes backend servers from the platform. Confined to the watch's thread.
 */
public final class RegistryWatcher implements StoreWatch.Listener {

	private final RegistryDecoder decoder;

	private final RegistryView view;

	private final RegistryHolder holder;

	private final MonotonicClock clock;

	private final UnreadableEntries unreadable = new UnreadableEntries();

	/**
	 * Creates the watcher.
	 * @param decoder reads servers
	 * @param view keeps them up to date
	 * @param holder takes the registry
	 * @param clock tells the time
	 */
	public RegistryWatcher(RegistryDecoder decoder, RegistryView view, RegistryHolder holder, MonotonicClock clock) {
		this.decoder = decoder;
		this.view = view;
		this.holder = holder;
		this.clock = clock;
	}

	@Override
	public void listed(ListResult.Listed listing) {
		List<BackendEntry> servers = new ArrayList<>();
		this.unreadable.retain(listing.objects().stream().map(this::idOf).toList());
		listing.objects().forEach((object) -> decode(object).ifPresent(servers::add));
		this.view.listed(listing.revision(), servers, this.clock.nowMillis());
		publish();
	}

	@Override
	public void changed(WatchResult.Changes changes) {
		long nowMillis = this.clock.nowMillis();
		for (StoredObject object : changes.objects()) {
			Optional<BackendEntry> server = object.deleted() ? Optional.empty() : decode(object);
			if (object.deleted()) {
				this.unreadable.readable(idOf(object));
			}
			server.ifPresentOrElse(this.view::changed, () -> this.view.removed(idOf(object), nowMillis));
		}
		this.view.knownUpTo(changes.revision());
		publish();
	}

	/**
	 * Drops servers whose grace has ended.
	 */
	public void expire() {
		if (this.view.keepsLapsed()) {
			publish();
		}
	}

	private void publish() {
		this.holder.offer(this.view.registry(this.clock.nowMillis()));
	}

	@Override
	public void gap(long afterRevision) {
		EventLog.log(Event.WATCH_GAP, "after", afterRevision);
	}

	@Override
	public void away(String reason) {
		EventLog.log(Event.PLATFORM_AWAY, "reason", reason);
	}

	@Override
	public void back() {
		EventLog.log(Event.PLATFORM_BACK);
		this.view.platformReturned(this.clock.nowMillis());
	}

	private String idOf(StoredObject object) {
		return object.key().substring(this.decoder.prefix().length());
	}

	// An entry may come from another writer. One that cannot be read names no server,
	// whatever it said before; the others hold.
	private Optional<BackendEntry> decode(StoredObject object) {
		try {
			BackendEntry server = this.decoder.decode(idOf(object), object.value());
			this.unreadable.readable(idOf(object));
			return Optional.of(server);
		}
		catch (DocumentException ex) {
			this.unreadable.unreadable(idOf(object), ex.getMessage());
			return Optional.empty();
		}
	}

	/**
	 * Counts the entries that cannot be read as they stand now.
	 * @return a number of entries, bounded
	 */
	public int unreadable() {
		return this.unreadable.count();
	}

}
