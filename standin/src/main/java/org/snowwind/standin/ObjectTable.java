package org.snowwind.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The objects of the stand-in platform with their revisions and recent changes.
 */
final class ObjectTable {

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final Deque<Row> history = new ArrayDeque<>();

	private long revision;

	private long forgottenRevision;

	private long era = 1;

	long era() {
		return this.era;
	}

	/**
	 * Copies the objects, so that the table can be restored from the copy.
	 * @return the copy
	 */
	Copy copy() {
		return new Copy(this.revision, List.copyOf(this.rows.values()));
	}

	/**
	 * Restores an older state. Changes since then are lost, and their revisions are given
	 * out again in a new era.
	 * @param copy the older state
	 */
	void restore(Copy copy) {
		this.rows.clear();
		copy.rows().forEach((row) -> this.rows.put(row.key(), row));
		this.history.removeIf((row) -> row.revision() > copy.revision());
		this.forgottenRevision = Math.min(this.forgottenRevision, copy.revision());
		this.revision = copy.revision();
		this.era++;
	}

	long revision() {
		return this.revision;
	}

	Optional<Row> get(String key) {
		return Optional.ofNullable(this.rows.get(key));
	}

	List<Row> list(String prefix) {
		return List.copyOf(this.rows.subMap(prefix, prefix + Character.MAX_VALUE).values());
	}

	/**
	 * Writes if the expected revision stands there.
	 * @param key the key
	 * @param expectedRevision the revision that must stand there, 0 for none
	 * @param value the value; {@code null} deletes
	 * @param historySize how many changes are kept
	 * @return the row as it stands afterwards; empty on a conflict
	 */
	Optional<Row> write(String key, long expectedRevision, JsonNode value, int historySize) {
		Row standing = this.rows.get(key);
		long standingRevision = (standing != null) ? standing.revision() : 0;
		if (standingRevision != expectedRevision || (value == null && standing == null)) {
			return Optional.empty();
		}
		this.revision++;
		Row row = new Row(key, this.revision, value);
		if (value != null) {
			this.rows.put(key, row);
		}
		else {
			this.rows.remove(key);
		}
		this.history.addLast(row);
		forget(historySize);
		return Optional.of(row);
	}

	void forget(int historySize) {
		while (this.history.size() > historySize) {
			this.forgottenRevision = this.history.removeFirst().revision();
		}
	}

	/**
	 * Finds changes.
	 * @param prefix the start of the keys
	 * @param afterRevision changes after this revision
	 * @return the changes; empty optional if some are forgotten or the revision was not
	 * reached
	 */
	Optional<List<Row>> changes(String prefix, long afterRevision) {
		if (afterRevision < this.forgottenRevision || afterRevision > this.revision) {
			return Optional.empty();
		}
		List<Row> found = new ArrayList<>();
		for (Row row : this.history) {
			if (row.revision() > afterRevision && row.key().startsWith(prefix)) {
				found.add(row);
			}
		}
		return Optional.of(found);
	}

	/**
	 * The objects at one moment.
	 *
	 * @param revision the revision
	 * @param rows the objects
	 */
	record Copy(long revision, List<Row> rows) {

	}

	/**
	 * One object, or the trace of its deletion.
	 *
	 * @param key its key
	 * @param revision the revision of its last change
	 * @param value its value, {@code null} if deleted
	 */
	record Row(String key, long revision, JsonNode value) {

	}

}
