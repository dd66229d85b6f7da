package org.snowwind.gateway.suspect;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.snowwind.decide.blame.ServerEnd;
import org.snowwind.gateway.suspect.SuspectDocument.SeenEnd;

/**
 * What this gateway says of suspects, bounded in number and time. Confined to one thread
 * at a time.
 */
final class OwnSuspects {

	/** So many ends of one organisation are kept, so that it takes nobody else's room. */
	static final int MOST_OF_ORGANISATION = 64;

	/** So many ends are kept in all, and as many that were cleared. */
	static final int MOST = 256;

	/** An end is forgotten after this time, in milliseconds: an hour. */
	static final long KEEP_MILLIS = 3_600_000;

	/**
	 * An end for which a request is blamed is forgotten after this time, in milliseconds:
	 * a day. Then its caller may end three servers again; an operator sees it before.
	 */
	static final long KEEP_BLAMED_MILLIS = 86_400_000;

	private final Map<ServerEnd, Kept> ends = new LinkedHashMap<>();

	private final Map<ServerEnd, Long> cleared = new LinkedHashMap<>();

	private final Map<String, Long> alive = new LinkedHashMap<>();

	private final OwnParts parts;

	/**
	 * Creates an empty collection.
	 * @param answeredParts the parts of prompts that this gateway has seen answered
	 */
	OwnSuspects(AnsweredParts answeredParts) {
		this.parts = new OwnParts(answeredParts);
	}

	/**
	 * Adds what an earlier life of this gateway has written, or this one.
	 * @param document what stands in the platform
	 * @param nowMillis the time, in milliseconds
	 */
	void adopt(SuspectDocument document, long nowMillis) {
		document.ends().forEach((seen) -> add(seen, nowMillis));
		document.cleared().forEach((end) -> clear(end, nowMillis));
		document.alive().forEach((server) -> this.alive.putIfAbsent(server, nowMillis));
		this.parts.adopt(document.parts(), nowMillis);
	}

	OwnParts parts() {
		return this.parts;
	}

	boolean add(SeenEnd seen, long nowMillis) {
		if (this.ends.putIfAbsent(seen.end(), new Kept(seen, nowMillis)) != null) {
			return false;
		}
		dropOldest((kept) -> kept.seen.organisation().equals(seen.organisation()), MOST_OF_ORGANISATION);
		dropOldest((kept) -> true, MOST);
		return true;
	}

	private void dropOldest(Predicate<Kept> which, int most) {
		long count = this.ends.values().stream().filter(which).count();
		Iterator<Kept> oldestFirst = this.ends.values().iterator();
		while (count > most && oldestFirst.hasNext()) {
			if (which.test(oldestFirst.next())) {
				oldestFirst.remove();
				count--;
			}
		}
	}

	void clear(ServerEnd end, long nowMillis) {
		if (this.cleared.putIfAbsent(end, nowMillis) == null && this.cleared.size() > MOST) {
			this.cleared.remove(this.cleared.keySet().iterator().next());
		}
	}

	void lives(String server, long nowMillis) {
		if (this.alive.putIfAbsent(server, nowMillis) == null && this.alive.size() > MOST) {
			this.alive.remove(this.alive.keySet().iterator().next());
		}
	}

	/**
	 * Forgets what is old.
	 * @param view what is blamed
	 * @param nowMillis the time, in milliseconds
	 * @return whether anything was forgotten
	 */
	boolean forget(SuspectView view, long nowMillis) {
		boolean forgotten = this.ends.values().removeIf((kept) -> {
			long keepMillis = view.blames(kept.seen.end().request()) ? KEEP_BLAMED_MILLIS : KEEP_MILLIS;
			return nowMillis - kept.sinceMillis > keepMillis;
		});
		// What is cleared must outlast the ends that it clears, whoever keeps them.
		forgotten |= this.cleared.values().removeIf((since) -> nowMillis - since > KEEP_BLAMED_MILLIS);
		forgotten |= this.alive.values().removeIf((since) -> nowMillis - since > KEEP_BLAMED_MILLIS);
		return this.parts.forget(view.parts()::isBlamed, nowMillis) || forgotten;
	}

	SuspectDocument document() {
		List<SeenEnd> standing = this.ends.values()
			.stream()
			.map(Kept::seen)
			.filter((seen) -> !this.cleared.containsKey(seen.end()) && !this.alive.containsKey(seen.end().server()))
			.toList();
		return new SuspectDocument(standing, Set.copyOf(this.cleared.keySet()), Set.copyOf(this.alive.keySet()),
				this.parts.evidence());
	}

	/**
	 * An end and since when it is kept.
	 *
	 * @param seen the end
	 * @param sinceMillis since when, in milliseconds
	 */
	private record Kept(SeenEnd seen, long sinceMillis) {

	}

}
