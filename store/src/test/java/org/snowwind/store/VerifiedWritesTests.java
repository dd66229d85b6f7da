package org.snowwind.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import org.junit.jupiter.api.Test;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;

import static org.assertj.core.api.Assertions.assertThat;

class VerifiedWritesTests {

	private static final JsonNode MINE = TextNode.valueOf("mine");

	private final FakeStore store = new FakeStore();

	private final VerifiedWrites writes = new VerifiedWrites(this.store, (millis) -> this.store.pauses++);

	@Test
	void aWriteThatIsAnsweredIsNotReadBack() {
		assertThat(this.writes.write("k", EraRevision.ofLong(0), MINE))
			.isEqualTo(new WriteResult.Written(EraRevision.ofLong(1)));
		assertThat(this.store.reads).isZero();
	}

	@Test
	void aLostAnswerAfterTheEffectIsFoundOut() {
		this.store.loseAnswer = true;
		assertThat(this.writes.write("k", EraRevision.ofLong(0), MINE))
			.isEqualTo(new WriteResult.Written(EraRevision.ofLong(1)));
		assertThat(this.store.writes).isEqualTo(1);
	}

	@Test
	void aNumberThatWasParsedIsTheNumberThatWasWritten() {
		this.store.loseAnswer = true;
		JsonNode built = Json.MAPPER.createObjectNode().put("generation", 1L);
		assertThat(this.writes.write("k", EraRevision.ofLong(0), built))
			.isEqualTo(new WriteResult.Written(EraRevision.ofLong(1)));
	}

	@Test
	void aLostAnswerBeforeTheEffectIsNeverRepeatedBlind() {
		this.store.loseWrite = true;
		assertThat(this.writes.write("k", EraRevision.ofLong(0), MINE)).isInstanceOf(WriteResult.Uncertain.class);
		assertThat(this.store.writes).isEqualTo(1);
	}

	@Test
	void anothersWriteFoundInPlaceOfOursIsAConflict() {
		this.store.loseWrite = true;
		this.store.values.put("k", new StoredObject("k", EraRevision.ofLong(9), TextNode.valueOf("theirs")));
		assertThat(this.writes.write("k", EraRevision.ofLong(0), MINE))
			.isEqualTo(new WriteResult.Conflict(EraRevision.ofLong(9)));
	}

	@Test
	void oddValueOfAnotherWriterFoundInPlaceOfOursIsAConflict() throws IOException {
		String longName = "{\"" + "n".repeat(60_000) + "\":0}";
		String nested = "[".repeat(1100) + "]".repeat(1100);
		this.store.loseWrite = true;
		for (String odd : List.of(longName, nested, "1e400", "9".repeat(5000))) {
			this.store.values.put("k", new StoredObject("k", EraRevision.ofLong(9),
					Json.readForeign(odd.getBytes(StandardCharsets.UTF_8))));
			assertThat(this.writes.write("k", EraRevision.ofLong(0), MINE))
				.isEqualTo(new WriteResult.Conflict(EraRevision.ofLong(9)));
		}
	}

	@Test
	void aLostDeletionIsFoundOut() {
		this.store.put("k", EraRevision.ofLong(0), MINE);
		this.store.loseAnswer = true;
		assertThat(this.writes.write("k", EraRevision.ofLong(1), null)).isInstanceOf(WriteResult.Written.class);
	}

	@Test
	void whileThePlatformIsAwayItStaysUncertain() {
		this.store.loseAnswer = true;
		this.store.readsFail = true;
		assertThat(this.writes.write("k", EraRevision.ofLong(0), MINE)).isInstanceOf(WriteResult.Uncertain.class);
		assertThat(this.store.pauses).isEqualTo(4);
	}

	private static final class FakeStore implements ObjectStore {

		private final Map<String, StoredObject> values = new HashMap<>();

		private long revision;

		private int reads;

		private int writes;

		private int pauses;

		private boolean loseAnswer;

		private boolean loseWrite;

		private boolean readsFail;

		@Override
		public ListResult list(String prefix) {
			return new ListResult.Listed(EraRevision.ofLong(this.revision), List.copyOf(this.values.values()));
		}

		@Override
		public GetResult get(String key) {
			this.reads++;
			if (this.readsFail) {
				return new GetResult.Away("fake");
			}
			StoredObject object = this.values.get(key);
			return (object != null) ? new GetResult.Found(object) : new GetResult.Absent();
		}

		@Override
		public WriteResult put(String key, EraRevision expectedRevision, JsonNode value) {
			this.writes++;
			if (this.loseWrite) {
				return new WriteResult.Uncertain("fake");
			}
			this.revision++;
			this.values.put(key, new StoredObject(key, EraRevision.ofLong(this.revision), parsed(value)));
			return this.loseAnswer ? new WriteResult.Uncertain("fake")
					: new WriteResult.Written(EraRevision.ofLong(this.revision));
		}

		private static JsonNode parsed(JsonNode value) {
			try {
				return Json.MAPPER.readTree(value.toString());
			}
			catch (JsonProcessingException ex) {
				throw new IllegalArgumentException(ex);
			}
		}

		@Override
		public WriteResult delete(String key, EraRevision expectedRevision) {
			this.revision++;
			this.values.remove(key);
			return this.loseAnswer ? new WriteResult.Uncertain("fake")
					: new WriteResult.Written(EraRevision.ofLong(this.revision));
		}

		@Override
		public WatchResult watch(String prefix, EraRevision afterRevision, long waitMillis) {
			return new WatchResult.Changes(List.of(), EraRevision.NONE);
		}

	}

}
