package org.snowwind.gateway.evacuation;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.snowwind.gateway.table.DocumentException;
import org.snowwind.model.EraRevision;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.ListResult;
import org.snowwind.store.StoreListener;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchResult;

/**
 * Reads evacuations from the store. Confined to the thread of the watch.
 *
 * <p>
 * An object that cannot be decoded requests no evacuation and affects no other one.
 */
final class EvacuationWatcher implements StoreListener {

	/** The maximum number of objects whose last logged fault is remembered. */
	private static final int MAX_LOGGED = 200;

	/** The maximum length of a name or a reason in a log line, in characters. */
	private static final int MAX_LOGGED_CHARS = 120;

	private final EvacuationDecoder decoder;

	private final EvacuationBook book;

	private final Map<String, String> faults = new LinkedHashMap<>();

	private volatile int faultCount;

	/**
	 * Creates the watcher.
	 * @param decoder decodes evacuations
	 * @param book receives them
	 */
	EvacuationWatcher(EvacuationDecoder decoder, EvacuationBook book) {
		this.decoder = decoder;
		this.book = book;
	}

	@Override
	public void listed(ListResult.Listed listing) {
		Map<String, EraRevision> listed = new HashMap<>();
		this.faults.keySet()
			.retainAll(listing.objects().stream().map(this::dataCentreOf).map(EvacuationWatcher::truncate).toList());
		for (StoredObject object : listing.objects()) {
			if (isReadable(object)) {
				listed.put(dataCentreOf(object), object.revision());
			}
		}
		this.faultCount = this.faults.size();
		this.book.applyListing(listing.revision(), listed);
	}

	@Override
	public void changed(WatchResult.Changes changes) {
		Map<String, Evacuation> last = new HashMap<>();
		for (StoredObject object : changes.objects()) {
			String dataCentre = dataCentreOf(object);
			boolean requested = !object.deleted() && isReadable(object);
			if (object.deleted()) {
				this.faults.remove(truncate(dataCentre));
			}
			if (!Evacuation.isName(dataCentre)) {
				continue;
			}
			// A deleted object has the revision of its previous change.
			last.put(dataCentre,
					new Evacuation(dataCentre, requested ? object.revision() : changes.revision(), !requested));
		}
		this.faultCount = this.faults.size();
		this.book.applyChanges(changes.revision(), last.values());
	}

	@Override
	public void restored(EraRevision before, EraRevision now) {
		EventLog.log(Event.EVACUATIONS_RESTORED, "before", before, "revision", now, "inForce", this.book.inForce());
	}

	private String dataCentreOf(StoredObject object) {
		return object.key().substring(this.decoder.prefix().length());
	}

	private boolean isReadable(StoredObject object) {
		String dataCentre = dataCentreOf(object);
		try {
			List<String> unknownFields = this.decoder.decode(dataCentre, object.value());
			recordFault(dataCentre,
					unknownFields.isEmpty() ? Optional.empty() : Optional.of("unknown fields " + unknownFields), true);
			return true;
		}
		catch (DocumentException ex) {
			recordFault(dataCentre, Optional.of(ex.getMessage()), false);
			return false;
		}
	}

	private void recordFault(String dataCentre, Optional<String> reason, boolean requested) {
		String name = truncate(dataCentre);
		if (reason.isEmpty()) {
			this.faults.remove(name);
			return;
		}
		String text = truncate(reason.get());
		boolean hasCapacity = this.faults.containsKey(name) || this.faults.size() < MAX_LOGGED;
		if (hasCapacity && !text.equals(this.faults.put(name, text))) {
			EventLog.log(Event.EVACUATION_UNREADABLE, "dataCentre", name, "reason", text, "requested", requested);
		}
	}

	private static String truncate(String text) {
		return (text.length() > MAX_LOGGED_CHARS) ? text.substring(0, MAX_LOGGED_CHARS) : text;
	}

	/**
	 * Returns the number of objects that have unknown fields or cannot be decoded. May be
	 * called on any thread.
	 * @return the number of objects, at most 200
	 */
	int faultCount() {
		return this.faultCount;
	}

}
