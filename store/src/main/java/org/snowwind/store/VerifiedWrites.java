package org.snowwind.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.LongConsumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;

/**
 * Determines the result of writes whose response was lost by reading the object back.
 *
 * <p>
 * Such a write is never repeated without a read. The value must identify its writer;
 * otherwise two writers of the same value would take one write for their own.
 */
public final class VerifiedWrites {

	private static final int READS = 4;

	private static final long FIRST_PAUSE_MILLIS = 50;

	private final ObjectStore store;

	private final LongConsumer pause;

	/**
	 * Creates the writer.
	 * @param store the platform's store
	 * @param pause waits for a number of milliseconds
	 */
	public VerifiedWrites(ObjectStore store, LongConsumer pause) {
		this.store = store;
		this.pause = pause;
	}

	/**
	 * Writes an object and, if the response is lost, determines the result.
	 * @param key the object's key
	 * @param expectedRevision the revision of its last change, {@link EraRevision#NONE}
	 * if it must not exist
	 * @param value the new value; {@code null} deletes
	 * @return the result; uncertain only if the store does not answer or the write may
	 * still take effect
	 */
	public WriteResult write(String key, EraRevision expectedRevision, JsonNode value) {
		WriteResult first = (value != null) ? this.store.put(key, expectedRevision, value)
				: this.store.delete(key, expectedRevision);
		return first.match(new WriteResult.Cases<>(WriteResult.Written::new, WriteResult.Conflict::new,
				WriteResult.NotWritten::new, (reason) -> readBack(key, expectedRevision, value, reason)));
	}

	private WriteResult readBack(String key, EraRevision expectedRevision, JsonNode value, String reason) {
		WriteResult latest = new WriteResult.Uncertain(reason);
		for (int read = 0; read < READS; read++) {
			this.pause.accept(FIRST_PAUSE_MILLIS << read);
			latest = compare(key, expectedRevision, value, reason);
			if (!(latest instanceof WriteResult.Uncertain)) {
				return latest;
			}
		}
		return latest;
	}

	/**
	 * Compares two values by their text, because a parsed number may have another type
	 * than a built one.
	 * @param standing the value in the store
	 * @param written the value that was written
	 * @return true if they are equal
	 */
	private static boolean sameText(JsonNode standing, JsonNode written) {
		return standing != null && written != null && reparsed(standing).equals(reparsed(written));
	}

	private static JsonNode reparsed(JsonNode value) {
		try {
			return Json.readForeign(value.toString().getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new IllegalStateException("a JSON tree always parses again", ex);
		}
	}

	private WriteResult compare(String key, EraRevision expectedRevision, JsonNode value, String reason) {
		return this.store.get(key).match((object) -> {
			if (sameText(object.value(), value)) {
				return new WriteResult.Written(object.revision());
			}
			boolean unchanged = object.revision().equals(expectedRevision);
			return unchanged ? new WriteResult.Uncertain(reason) : new WriteResult.Conflict(object.revision());
		}, () -> {
			if (value == null) {
				return new WriteResult.Written(expectedRevision);
			}
			return expectedRevision.isNone() ? new WriteResult.Uncertain(reason)
					: new WriteResult.Conflict(EraRevision.NONE);
		}, WriteResult.Uncertain::new);
	}

}
