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

	private volatile boolean away;

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

	/**
	 * Tells whether the platform does not answer.
	 * @return true if the last call failed
	 */
	public boolean away() {
		return this.away;
	}

	@Override
	public void listed(ListResult.Listed listing) {
		List<BackendEntry> servers = new ArrayList<>();
		listing.objects().forEach((object) -> decode(object).ifPresent(servers::add));
		this.view.listed(listing.revision(), servers, this.clock.nowMillis());
		publish();
	}

	@Override
	public void changed(WatchResult.Changes changes) {
		long nowMillis = this.clock.nowMillis();
		for (StoredObject object : changes.objects()) {
			if (object.deleted()) {
				this.view.removed(idOf(object), nowMillis);
			}
			else {
				decode(object).ifPresent(this.view::changed);
			}
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
		this.away = true;
		EventLog.log(Event.PLATFORM_AWAY, "reason", reason);
	}

	@Override
	public void back() {
		this.away = false;
		EventLog.log(Event.PLATFORM_BACK);
		this.view.platformReturned(this.clock.nowMillis());
	}

	private String idOf(StoredObject object) {
		return object.key().substring(this.decoder.prefix().length());
	}

	private Optional<BackendEntry> decode(StoredObject object) {
		try {
			return Optional.of(this.decoder.decode(idOf(object), object.value()));
		}
		catch (DocumentException ex) {
			EventLog.log(Event.SERVER_UNREADABLE, "server", idOf(object), "reason", ex.getMessage());
			return Optional.empty();
		}
	}

}
