package org.snowwind.config.snapshot;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.snowwind.config.check.BuiltInChecks;
import org.snowwind.config.check.ResourceChecks;
import org.snowwind.config.snapshot.SnapshotBuilder.RawValue;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that resources which another writer has left in the store do not keep valid ones
 * from coming in force.
 */
class OddResourcesTests {

	private static final List<String> ODD = List.of("null", "true", "0", "-1", "1.5", "1e400", "-1e400", "1e999999999",
			"2147483647", "1e20", "99999999999999999999", "9".repeat(400), "\"\"", "\"text\"", "\"10.0.0.1:70000\"",
			"\"10.0.0.1:-1\"", "\"10.0.0.1:port\"", "[]", "{}", "[null]", "[[null]]", "[[[null]]]", "[[[]]]",
			"[[[-1]]]", "[\"\",{}]", "[".repeat(900) + "]".repeat(900), "[".repeat(100_000) + "]".repeat(100_000),
			"{\"a\":".repeat(1100) + "0" + "}".repeat(1100));

	private static final Map<String, String> SPECS = Map.of("Service", "{\"description\":\"d\"}", "BackendServer",
			"{\"dataCentre\":\"casa\",\"address\":\"10.0.0.1:90\",\"controlAddress\":\"10.0.0.2:90\","
					+ "\"targets\":[\"desk\"],\"fencing\":\"IGNORED\"}",
			"ModelGroup",
			"{\"model\":\"chat\",\"ranks\":2,\"layers\":1,\"experts\":2,\"slotsPerRank\":2,\"expertMap\":\"a-map\"}",
			"ExpertMap", "{\"placement\":[[[0],[1]]]}", "Organisation",
			"{\"keyDigests\":[],\"weight\":1,\"requestsPerSecond\":1,\"burstRequests\":1,\"maxOpenRequests\":1,"
					+ "\"maxBodyBytes\":1,\"serviceLevel\":{\"targetShare\":0.9,\"firstByteMillis\":1,"
					+ "\"wholeAnswerMillis\":2}}",
			"RoutingPolicy",
			"{\"target\":\"desk\",\"budgetMillis\":1,\"maxAttempts\":1,\"choice\":\"TWO_CHOICES\","
					+ "\"routes\":[{\"method\":\"GET\",\"pathPrefix\":\"/\",\"repeatable\":true,"
					+ "\"callerMayLoosen\":false}],\"skewWeight\":1,\"moveWeight\":1}");

	private final SnapshotBuilder builder = new SnapshotBuilder(new ResourceChecks(BuiltInChecks.ALL));

	private static JsonNode json(String text) {
		try {
			return Json.readForeign(text.getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException(ex);
		}
	}

	private static String resource(String kind, String name) {
		return "{\"kind\":\"" + kind + "\",\"name\":\"" + name + "\",\"generation\":1,\"spec\":" + SPECS.get(kind)
				+ "}";
	}

	private static RawValue sound(long revision, String kind, String name) {
		return raw(revision, kind, name, json(resource(kind, name)));
	}

	private static RawValue raw(long revision, String kind, String name, JsonNode value) {
		return new RawValue("resources/" + kind + "/" + name, EraRevision.ofLong(revision), value);
	}

	static Stream<String> kinds() {
		return SPECS.keySet().stream().sorted();
	}

	/** Returns copies of a resource with an odd value at one place each. */
	private static List<JsonNode> oddResources(String kind, String name) {
		List<JsonNode> resources = new ArrayList<>();
		for (String odd : ODD) {
			JsonNode value = json(odd);
			resources.add(value);
			int places = (int) objectsOf(json(resource(kind, name))).count();
			for (int place = 0; place < places; place++) {
				List<String> names = new ArrayList<>(List.of("unknown"));
				objectAt(json(resource(kind, name)), place).fieldNames().forEachRemaining(names::add);
				for (String field : names) {
					JsonNode copy = json(resource(kind, name));
					objectAt(copy, place).set(field, value);
					resources.add(copy);
				}
			}
		}
		return resources;
	}

	private static ObjectNode objectAt(JsonNode document, int place) {
		return objectsOf(document).skip(place).findFirst().orElseThrow();
	}

	private static Stream<ObjectNode> objectsOf(JsonNode node) {
		Stream<ObjectNode> self = node.isObject() ? Stream.of((ObjectNode) node) : Stream.of();
		return Stream.concat(self, node.valueStream().flatMap(OddResourcesTests::objectsOf));
	}

	private static List<RawValue> allSound(String except) {
		List<RawValue> values = new ArrayList<>(List.of(sound(1, "Service", "desk")));
		kinds().filter((kind) -> !kind.equals(except)).forEach((kind) -> values.add(sound(1, kind, nameOf(kind))));
		return values;
	}

	private static String nameOf(String kind) {
		return "a-" + (kind.equals("ExpertMap") ? "map" : kind.toLowerCase(java.util.Locale.ROOT));
	}

	@ParameterizedTest
	@MethodSource("kinds")
	void oddResourceInAListingHidesNoOther(String kind) {
		for (JsonNode odd : oddResources(kind, nameOf(kind))) {
			List<RawValue> values = allSound(kind);
			values.add(raw(1, kind, nameOf(kind), odd));
			values.add(sound(1, kind, "z-other"));
			Snapshot listed = this.builder.fromListing(Snapshot.NONE, EraRevision.ofLong(5), values);
			Snapshot next = this.builder.fromChanges(listed, List.of(sound(6, "Service", "later")));
			assertThat(next.hasService("desk")).isTrue();
			assertThat(next.hasService("later")).isTrue();
		}
	}

	@ParameterizedTest
	@MethodSource("kinds")
	void oddChangeOfAResourceDoesNotHideLaterChanges(String kind) {
		List<RawValue> sound = allSound("none");
		Snapshot before = this.builder.fromListing(Snapshot.NONE, EraRevision.ofLong(5), sound);
		for (JsonNode odd : oddResources(kind, nameOf(kind))) {
			Snapshot changed = this.builder.fromChanges(before,
					List.of(raw(6, kind, nameOf(kind), odd), raw(7, kind, "b-odd", odd), sound(8, "Service", "later")));
			assertThat(changed.hasService("later")).isTrue();
			Snapshot again = this.builder.fromChanges(changed, List.of(sound(9, kind, nameOf(kind))));
			assertThat(again.revision()).isEqualTo(EraRevision.ofLong(9));
		}
	}

}
