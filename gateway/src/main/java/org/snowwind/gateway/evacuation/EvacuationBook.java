package org.snowwind.gateway.evacuation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.snowwind.model.EraRevision;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * The evacuations that this process knows of, from the store and from its peers.
 * Thread-safe.
 *
 * <p>
 * Handles servers that must get no more requests although the store may be unavailable or
 * restored from an older copy. For each data centre the news from the newest position in
 * the store is in force, whoever reports it and in whatever order. An evacuation ends
 * only if its end was seen: a store of a later era that lacks it has lost it. A listener
 * that failed is told again with the next news.
 */
public final class EvacuationBook {

	/** The maximum number of data centres whose news is kept; the oldest is dropped. */
	static final int MAX_ENTRIES = 256;

	private final Map<String, Evacuation> newest = new HashMap<>();

	private final Consumer<Set<String>> listener;

	/** The position of the last listing or change from the store. */
	private EraRevision known = EraRevision.NONE;

	/** What the listener was told last. */
	private Set<String> told = Set.of();

	private volatile List<Evacuation> snapshot = List.of();

	/**
	 * Creates a book without evacuations.
	 * @param listener called with the names of all evacuated data centres when they have
	 * changed, on the thread that reports the change
	 */
	public EvacuationBook(Consumer<Set<String>> listener) {
		this.listener = listener;
	}

	/**
	 * Returns the news to pass on to peers.
	 * @return one element for each data centre, at most {@value #MAX_ENTRIES}
	 */
	public List<Evacuation> news() {
		return this.snapshot;
	}

	/**
	 * Returns the data centres whose evacuation is in force.
	 * @return their names
	 */
	public Set<String> inForce() {
		return inForce(this.snapshot);
	}

	private static Set<String> inForce(Collection<Evacuation> news) {
		return news.stream()
			.filter((evacuation) -> !evacuation.ended())
			.map(Evacuation::dataCentre)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Applies a listing of all evacuations. An evacuation that it lacks has ended, unless
	 * it was requested in an earlier era.
	 * @param revision the position of the listing
	 * @param listed the position at which each listed evacuation was requested, by the
	 * name of the data centre
	 */
	synchronized void applyListing(EraRevision revision, Map<String, EraRevision> listed) {
		if (this.known.isNewerThan(revision)) {
			return;
		}
		this.known = revision;
		List<Evacuation> changes = new ArrayList<>();
		listed.forEach((dataCentre, requested) -> changes.add(new Evacuation(dataCentre, requested, false)));
		for (Evacuation evacuation : this.newest.values()) {
			boolean missing = !evacuation.ended() && !listed.containsKey(evacuation.dataCentre());
			if (missing && revision.includes(evacuation.revision())) {
				changes.add(new Evacuation(evacuation.dataCentre(), revision, true));
			}
		}
		apply(changes, "platform");
	}

	/**
	 * Applies changes from the store.
	 * @param revision the position up to which the changes are complete
	 * @param changed the last change of each data centre
	 */
	synchronized void applyChanges(EraRevision revision, Collection<Evacuation> changed) {
		this.known = EraRevision.newest(this.known, revision);
		apply(changed, "platform");
	}

	/**
	 * Applies the news of a peer. An evacuation that the own copy of the store includes
	 * and that is not in force here has ended before.
	 * @param news the news
	 * @param peer the peer's name, for the log
	 */
	public synchronized void applyNews(List<Evacuation> news, String peer) {
		if (news.equals(this.snapshot)) {
			return;
		}
		apply(news.stream().filter((evacuation) -> !isOutdated(evacuation)).toList(), "peer " + peer);
	}

	private boolean isOutdated(Evacuation evacuation) {
		return !this.newest.containsKey(evacuation.dataCentre()) && this.known.includes(evacuation.revision());
	}

	private void apply(Collection<Evacuation> changes, String source) {
		for (Evacuation change : changes) {
			Evacuation previous = this.newest.get(change.dataCentre());
			if (previous == null || change.revision().isNewerThan(previous.revision())) {
				this.newest.put(change.dataCentre(), change);
			}
		}
		dropOldest();
		this.snapshot = List.copyOf(this.newest.values());
		Set<String> after = inForce(this.snapshot);
		if (!after.equals(this.told)) {
			logDifference(this.told, after, source);
			this.listener.accept(after);
			this.told = after;
		}
	}

	// Ended evacuations are dropped first.
	private void dropOldest() {
		while (this.newest.size() > MAX_ENTRIES) {
			this.newest.values()
				.stream()
				.min(Comparator.comparing((Evacuation evacuation) -> !evacuation.ended())
					.thenComparing((evacuation) -> evacuation.revision().toLong()))
				.ifPresent((oldest) -> this.newest.remove(oldest.dataCentre()));
		}
	}

	private void logDifference(Set<String> before, Set<String> after, String source) {
		this.newest.values().forEach((evacuation) -> {
			String dataCentre = evacuation.dataCentre();
			if (before.contains(dataCentre) != after.contains(dataCentre)) {
				EventLog.log(evacuation.ended() ? Event.EVACUATION_ENDED : Event.EVACUATION_BEGAN, "dataCentre",
						dataCentre, "revision", evacuation.revision(), "source", source);
			}
		});
	}

}
