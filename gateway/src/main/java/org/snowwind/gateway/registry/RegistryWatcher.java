package org.snowwind.gateway.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.snowwind.gateway.table.DocumentException;
import org.snowwind.gateway.table.UnreadableEntries;
import org.snowwind.model.EraRevision;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.ListResult;
import org.snowwind.store.StoreListener;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchResult;

/**
 * Watches the platform for backend servers and publishes the registry. Confined to the
 * thread of the watch.
 */
public final class RegistryWatcher implements StoreListener {

	private final RegistryDecoder decoder;

	private final RegistryView view;

	private final RegistryHolder holder;

	private final MonotonicClock clock;

	private final UnreadableEntries unreadableEntries = new UnreadableEntries(Event.SERVER_UNREADABLE, "server");

	private final UnreadableEntries unreadableColdTimes = new UnreadableEntries(Event.SERVER_COLD_TIME_UNREADABLE,
			"server");

	/**
	 * Creates the watcher.
	 * @param decoder decodes servers
	 * @param view keeps the servers up to date
	 * @param holder receives the registry
	 * @param clock provides the current time
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
		List<String> ids = listing.objects().stream().map(this::idOf).toList();
		this.unreadableEntries.retainOnly(ids);
		this.unreadableColdTimes.retainOnly(ids);
		listing.objects().forEach((object) -> decode(object).ifPresent(servers::add));
		this.view.replaceAll(listing.revision(), servers, this.clock.nowMillis());
		publish();
	}

	@Override
	public void changed(WatchResult.Changes changes) {
		long nowMillis = this.clock.nowMillis();
		for (StoredObject object : changes.objects()) {
			Optional<BackendEntry> server = object.deleted() ? Optional.empty() : decode(object);
			if (object.deleted()) {
				this.unreadableEntries.clear(idOf(object));
				this.unreadableColdTimes.clear(idOf(object));
			}
			server.ifPresentOrElse(this.view::put, () -> this.view.remove(idOf(object), nowMillis));
		}
		this.view.advanceRevision(changes.revision());
		publish();
	}

	/**
	 * Drops the servers whose grace period has ended, and returns those to service that
	 * have proved to be alive.
	 */
	public void expire() {
		if (this.view.hasLapsedServers()) {
			publish();
		}
		this.holder.refresh();
	}

	private void publish() {
		this.holder.offer(this.view.registry(this.clock.nowMillis()));
	}

	@Override
	public void gap(EraRevision afterRevision) {
		EventLog.log(Event.WATCH_GAP, "after", afterRevision);
	}

	@Override
	public void restored(EraRevision before, EraRevision now) {
		EventLog.log(Event.REGISTRY_RESTORED, "before", before, "registry", now, "servers",
				this.holder.current().servers().size());
		this.view.platformRecovered(this.clock.nowMillis());
	}

	@Override
	public void away(String reason) {
		EventLog.log(Event.PLATFORM_AWAY, "reason", reason);
	}

	@Override
	public void recovered() {
		this.view.platformRecovered(this.clock.nowMillis());
	}

	@Override
	public void back() {
		EventLog.log(Event.PLATFORM_BACK);
		this.view.platformRecovered(this.clock.nowMillis());
	}

	private String idOf(StoredObject object) {
		return object.key().substring(this.decoder.prefix().length());
	}

	// Entries may be written by programs other than the servers. An entry that cannot be
	// decoded counts as no server, even if it was valid before. The other entries are not
	// affected.
	private Optional<BackendEntry> decode(StoredObject object) {
		try {
			BackendEntry server = this.decoder.decode(idOf(object), object.value());
			this.unreadableEntries.clear(idOf(object));
			this.decoder.coldTimeFault(object.value())
				.ifPresentOrElse((fault) -> this.unreadableColdTimes.recordUnreadable(idOf(object), fault),
						() -> this.unreadableColdTimes.clear(idOf(object)));
			return Optional.of(server);
		}
		catch (DocumentException ex) {
			this.unreadableEntries.recordUnreadable(idOf(object), ex.getMessage());
			return Optional.empty();
		}
	}

	/**
	 * Returns the number of valid entries whose cold time cannot be read.
	 * @return the number of entries, bounded by the limit on remembered entries
	 */
	public int unreadableColdTimeCount() {
		return this.unreadableColdTimes.count();
	}

	/**
	 * Returns the number of entries whose current value cannot be decoded.
	 * @return the number of entries, bounded by the limit on remembered entries
	 */
	public int unreadableCount() {
		return this.unreadableEntries.count();
	}

}
