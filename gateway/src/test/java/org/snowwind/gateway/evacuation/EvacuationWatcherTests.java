package org.snowwind.gateway.evacuation;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.snowwind.gateway.table.DocumentException;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.store.ListResult;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchResult;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EvacuationWatcher} with objects of other writers.
 */
class EvacuationWatcherTests {

	private final EvacuationBook book = new EvacuationBook((inForce) -> {
	});

	private final EvacuationWatcher watcher = new EvacuationWatcher(new ObjectDecoder(), this.book);

	private static StoredObject object(String name, long revision, String value) {
		try {
			return new StoredObject("e/" + name, EraRevision.ofLong(revision), Json.MAPPER.readTree(value));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException(ex);
		}
	}

	private void list(long revision, StoredObject... objects) {
		this.watcher.listed(new ListResult.Listed(EraRevision.ofLong(revision), List.of(objects)));
	}

	private void change(long revision, StoredObject... objects) {
		this.watcher.changed(new WatchResult.Changes(List.of(objects), EraRevision.ofLong(revision)));
	}

	@Test
	void unreadableObjectRequestsNothingAndAffectsNoOther() {
		list(5, object("a", 3, "{}"), object("b", 4, "7"));
		assertThat(this.book.inForce()).containsExactly("a");
		assertThat(this.watcher.faultCount()).isEqualTo(1);
		change(6, object("b", 6, "{}"));
		assertThat(this.book.inForce()).containsExactlyInAnyOrder("a", "b");
		assertThat(this.watcher.faultCount()).isZero();
	}

	@Test
	void unknownFieldsDoNotPreventAnEvacuation() {
		list(5, object("a", 3, "{\"why\":1}"));
		assertThat(this.book.inForce()).containsExactly("a");
		assertThat(this.watcher.faultCount()).isEqualTo(1);
	}

	@Test
	void objectThatIsDeletedAndCreatedAgainInOneResponseIsInForce() {
		list(5, object("a", 3, "{}"));
		change(9, object("a", 3, "null"), object("a", 8, "{}"));
		assertThat(this.book.inForce()).containsExactly("a");
		change(12, object("a", 11, "{}"), object("a", 11, "null"));
		assertThat(this.book.inForce()).isEmpty();
	}

	@Test
	void manyUnreadableObjectsDoNotFillMemory() {
		for (int i = 0; i < 500; i++) {
			change(10 + i, object("odd" + i, 10 + i, "7"));
		}
		assertThat(this.watcher.faultCount()).isEqualTo(200);
	}

	/**
	 * Takes every object for an evacuation, and names its fields.
	 */
	private static final class ObjectDecoder implements EvacuationDecoder {

		@Override
		public String prefix() {
			return "e/";
		}

		@Override
		public List<String> decode(String dataCentre, JsonNode document) throws DocumentException {
			if (!document.isObject()) {
				throw new DocumentException("no object");
			}
			List<String> fields = new ArrayList<>();
			document.fieldNames().forEachRemaining(fields::add);
			return fields;
		}

	}

}
