package org.snowwind.gateway.suspect;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import org.snowwind.decide.blame.Blame;
import org.snowwind.decide.blame.BlamedPart;
import org.snowwind.decide.blame.PartEnd;
import org.snowwind.decide.blame.ServerEnd;
import org.snowwind.gateway.suspect.SuspectDocument.SeenEnd;
import org.snowwind.model.EraRevision;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.GetResult;
import org.snowwind.store.ListResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoreListener;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchResult;
import org.snowwind.store.WriteResult;

/**
 * Keeps what all gateways know of suspects in the platform, one document for each.
 *
 * <p>
 * A request that ends servers comes again at any gateway, also at one that was restarted
 * or is cut off from those that saw the ends. So each end goes to the platform as soon as
 * it is certain, and every gateway watches what all have written. While the platform is
 * away a gateway goes by what it knows, and writes when it is back.
 */
public final class SuspectBook implements StoreListener {

	/** The start of the keys of all documents. */
	public static final String PREFIX = "suspects/";

	/**
	 * The shortest time between two writes, in milliseconds: what ends together is
	 * written together, and a caller that ends servers on purpose costs the platform five
	 * writes a second for each gateway at most.
	 */
	static final long WRITE_EVERY_MILLIS = 200;

	/** A document that nobody has changed for so long is deleted, in milliseconds. */
	static final long DELETE_MILLIS = OwnSuspects.KEEP_BLAMED_MILLIS + OwnSuspects.KEEP_MILLIS;

	/** So many documents of others are kept, more than there are gateways. */
	private static final int MOST_DOCUMENTS = 1024;

	private final ObjectStore store;

	private final String key;

	private final AnsweredParts answeredParts;

	private final LongSupplier answerDelayMillis;

	private final MonotonicClock clock;

	/** When an answer that clears a part is written if no other gateway does. */
	private final Map<String, Long> answerDueMillis = new HashMap<>();

	/** Guarded by this object, as all that changes. */
	private final OwnSuspects own;

	private final Map<String, Standing> others = new LinkedHashMap<>();

	/** The revision of the own document, {@code null} if it is not known. */
	private EraRevision ownRevision;

	private boolean unwritten;

	private long nextWriteMillis = Long.MIN_VALUE;

	/** The evidence on parts of prompts in all documents, the own one included. */
	private PartEvidence written = PartEvidence.EMPTY;

	private volatile SuspectView view = SuspectView.EMPTY;

	/**
	 * Creates a book that knows nothing.
	 * @param store the platform
	 * @param name the name of this gateway
	 * @param answeredParts the parts of prompts that this gateway has seen answered
	 * @param answerDelayMillis how long this gateway leaves it to others to write an
	 * answer, in milliseconds
	 * @param clock tells the time
	 */
	SuspectBook(ObjectStore store, String name, AnsweredParts answeredParts, LongSupplier answerDelayMillis,
			MonotonicClock clock) {
		this.answeredParts = answeredParts;
		this.own = new OwnSuspects(answeredParts);
		this.answerDelayMillis = answerDelayMillis;
		this.store = store;
		this.key = PREFIX + name;
		this.clock = clock;
	}

	/**
	 * Returns what is known.
	 * @return the newest view
	 */
	public SuspectView view() {
		return this.view;
	}

	// ---- what this gateway sees

	/**
	 * Takes note of an end.
	 * @param seen the end
	 */
	public synchronized void ended(SeenEnd seen) {
		this.unwritten |= this.own.add(seen, this.clock.nowMillis());
		rebuild();
	}

	/**
	 * Records the end of a server under a request with parts in its prompt.
	 * @param ends the end for each part
	 */
	synchronized void endedWithParts(List<PartEnd> ends) {
		for (PartEnd end : ends) {
			this.unwritten |= this.own.parts().add(end, this.clock.nowMillis());
		}
		rebuild();
	}

	/**
	 * Applies answers to requests with parts that were at ends, and writes them for
	 * others.
	 */
	synchronized void recordAnswers() {
		long nowMillis = this.clock.nowMillis();
		PartView parts = this.view.parts();
		this.answerDueMillis.keySet().retainAll(parts.atEnds());
		boolean changed = false;
		for (String part : parts.atEnds()) {
			int round = this.answeredParts.roundOf(part);
			changed |= round > parts.answeredRound(part);
			if (round > this.written.answeredRounds().getOrDefault(part, -1) && nowMillis >= this.answerDueMillis
				.computeIfAbsent(part, (key) -> nowMillis + this.answerDelayMillis.getAsLong())) {
				EventLog.log(Event.PART_ANSWERED, "part", part, "clearedRounds", round);
				this.own.parts().answered(part, round, nowMillis);
				this.answerDueMillis.remove(part);
				this.unwritten = true;
				changed = true;
			}
		}
		if (changed) {
			rebuild();
		}
	}

	/**
	 * Takes note that a suspect was answered, which clears it of all ends so far.
	 * @param digest the request's digest
	 */
	public synchronized void answered(String digest) {
		Set<String> servers = this.view.serversOf(digest);
		if (servers.size() >= Blame.MIN_CLEARABLE_ENDS) {
			EventLog.log(Event.SUSPECT_CLEARED, "digest", digest, "servers", servers);
			servers.forEach((server) -> this.own.clear(new ServerEnd(digest, server), this.clock.nowMillis()));
			this.unwritten = true;
			rebuild();
		}
	}

	/**
	 * Takes note that a server has not ended after all.
	 * @param server which life of it
	 */
	public synchronized void lives(String server) {
		EventLog.log(Event.SERVER_LIVES, "server", server);
		this.own.lives(server, this.clock.nowMillis());
		this.unwritten = true;
		rebuild();
	}

	// ---- what all see

	@Override
	public synchronized void listed(ListResult.Listed listing) {
		Set<String> keys = new HashSet<>();
		listing.objects().forEach((object) -> keys.add(object.key()));
		this.others.keySet().retainAll(keys);
		listing.objects().forEach(this::take);
		rebuild();
	}

	// The own document may have been lost, at least its last changes.
	@Override
	public synchronized void restored(EraRevision before, EraRevision now) {
		this.ownRevision = null;
		this.unwritten |= !this.own.document().equals(SuspectDocument.EMPTY);
	}

	@Override
	public synchronized void changed(WatchResult.Changes changes) {
		changes.objects().forEach(this::take);
		if (!changes.objects().isEmpty()) {
			rebuild();
		}
	}

	private void take(StoredObject object) {
		long nowMillis = this.clock.nowMillis();
		if (object.key().equals(this.key)) {
			takeOwn(object, nowMillis);
		}
		else if (object.deleted()) {
			this.others.remove(object.key());
		}
		else if (this.others.containsKey(object.key()) || this.others.size() < MOST_DOCUMENTS) {
			Standing before = this.others.get(object.key());
			if (before == null || object.revision().isNewerThan(before.revision)) {
				this.others.put(object.key(),
						new Standing(SuspectDocument.read(object.value()), object.revision(), nowMillis));
			}
		}
	}

	// An earlier life of this gateway may have written it.
	private void takeOwn(StoredObject object, long nowMillis) {
		if (this.ownRevision == null || object.revision().isNewerThan(this.ownRevision)) {
			this.ownRevision = object.deleted() ? EraRevision.NONE : object.revision();
			this.own.adopt(SuspectDocument.read(object.value()), nowMillis);
		}
	}

	private List<SuspectDocument> documents() {
		List<SuspectDocument> documents = new ArrayList<>();
		documents.add(this.own.document());
		this.others.values().forEach((standing) -> documents.add(standing.document));
		return documents;
	}

	private void rebuild() {
		List<SuspectDocument> documents = documents();
		Map<ServerEnd, List<SeenEnd>> seen = SuspectDocument.standing(documents);
		this.written = SuspectDocument.parts(documents);
		Set<String> atEnds = new HashSet<>();
		this.written.ends().forEach((end) -> atEnds.add(end.part()));
		SuspectView before = this.view;
		this.view = SuspectView.of(seen.keySet(), SuspectDocument.cleared(documents),
				this.written.with(atEnds, this.answeredParts));
		logChanges(before, this.view, seen);
		logChanges(before.parts(), this.view.parts());
	}

	private static void logChanges(PartView before, PartView now) {
		for (BlamedPart part : now.blamed()) {
			if (!before.isBlamed(part.part())) {
				EventLog.log(Event.PART_BLAMED, "part", part.part(), "organisations", part.organisations(), "servers",
						part.servers(), "answeredRound", now.answeredRound(part.part()), "suspectedParts",
						now.atEnds().size());
			}
		}
		for (BlamedPart part : before.blamed()) {
			if (!now.isBlamed(part.part())) {
				EventLog.log(Event.PART_RELEASED, "part", part.part(), "answeredRound", now.answeredRound(part.part()));
			}
		}
	}

	private static void logChanges(SuspectView before, SuspectView now, Map<ServerEnd, List<SeenEnd>> seen) {
		for (String digest : now.blamed()) {
			if (!before.blames(digest)) {
				List<SeenEnd> sightings = new ArrayList<>();
				now.serversOf(digest).forEach((server) -> sightings.addAll(seen.get(new ServerEnd(digest, server))));
				EventLog.log(Event.REQUEST_BLAMED, "digest", digest, "organisation", sightings.get(0).organisation(),
						"servers", now.serversOf(digest), "agesMillis",
						sightings.stream().map(SeenEnd::ageMillis).toList(), "suspects", now.suspects().size());
			}
		}
		for (String digest : before.blamed()) {
			if (!now.blames(digest)) {
				EventLog.log(Event.REQUEST_RELEASED, "digest", digest, "servers", now.serversOf(digest));
			}
		}
	}

	// ---- writing

	/**
	 * Writes what is not written yet, and deletes what nobody keeps. Blocks.
	 */
	public void round() {
		deleteOldest();
		if (!due() || (!ownKnown() && !readOwn())) {
			return;
		}
		SuspectDocument document;
		EraRevision revision;
		synchronized (this) {
			document = this.own.document();
			revision = this.ownRevision;
			this.unwritten = false;
		}
		WriteResult result = this.store.put(this.key, revision, document.toJson());
		EventLog.log(Event.SUSPECTS_WRITTEN, "ends", document.ends().size(), "cleared", document.cleared().size(),
				"alive", document.alive().size(), "partEnds", document.parts().ends().size(), "partAnswers",
				document.parts().answeredRounds().size(), "result", result);
		result.match(new WriteResult.Cases<>((written) -> wrote(written, false), (conflict) -> wrote(null, true),
				(refused) -> wrote(revision, true), (uncertain) -> wrote(null, true)));
	}

	private synchronized boolean due() {
		long nowMillis = this.clock.nowMillis();
		if (!this.unwritten || nowMillis < this.nextWriteMillis) {
			return false;
		}
		this.nextWriteMillis = nowMillis + WRITE_EVERY_MILLIS;
		return true;
	}

	private synchronized boolean ownKnown() {
		return this.ownRevision != null;
	}

	private synchronized boolean wrote(EraRevision revision, boolean again) {
		boolean known = revision != null && this.ownRevision != null;
		this.ownRevision = known ? EraRevision.newest(this.ownRevision, revision) : revision;
		this.unwritten |= again;
		return !again;
	}

	private boolean readOwn() {
		GetResult read = this.store.get(this.key);
		return read.match(this::adopt, () -> adopt(new StoredObject(this.key, EraRevision.NONE, null)),
				(away) -> false);
	}

	private synchronized boolean adopt(StoredObject object) {
		takeOwn(object, this.clock.nowMillis());
		rebuild();
		return true;
	}

	/**
	 * Forgets what is too old to speak against anybody.
	 */
	public synchronized void forget() {
		if (this.own.forget(this.view, this.clock.nowMillis())) {
			this.unwritten = true;
			rebuild();
		}
	}

	private void deleteOldest() {
		String oldKey = null;
		EraRevision revision = EraRevision.NONE;
		synchronized (this) {
			for (Map.Entry<String, Standing> other : this.others.entrySet()) {
				if (this.clock.nowMillis() - other.getValue().sinceMillis > DELETE_MILLIS) {
					oldKey = other.getKey();
					revision = other.getValue().revision;
				}
			}
			this.others.remove(oldKey);
		}
		if (oldKey != null) {
			this.store.delete(oldKey, revision);
		}
	}

	/**
	 * A document as it stands in the platform.
	 *
	 * @param document what it says
	 * @param revision its revision
	 * @param sinceMillis since when it is known to stand, in milliseconds
	 */
	private record Standing(SuspectDocument document, EraRevision revision, long sinceMillis) {

	}

}
