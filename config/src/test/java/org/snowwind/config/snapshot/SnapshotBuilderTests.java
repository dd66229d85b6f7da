package org.snowwind.config.snapshot;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.snowwind.config.check.BuiltInChecks;
import org.snowwind.config.check.ResourceChecks;
import org.snowwind.config.snapshot.SnapshotBuilder.RawValue;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.model.resource.ResourceKind;

import static org.assertj.core.api.Assertions.assertThat;

class SnapshotBuilderTests {

	private final SnapshotBuilder builder = new SnapshotBuilder(new ResourceChecks(BuiltInChecks.ALL));

	private static RawValue value(long revision, String kind, String name, String spec) {
		return new RawValue("resources/" + kind + "/" + name, EraRevision.ofLong(revision),
				json("{\"kind\":\"" + kind + "\",\"name\":\"" + name + "\",\"generation\":1,\"spec\":" + spec + "}"));
	}

	private static RawValue deleted(long revision, String kind, String name) {
		return new RawValue("resources/" + kind + "/" + name, EraRevision.ofLong(revision), null);
	}

	private static JsonNode json(String text) {
		try {
			return Json.MAPPER.readTree(text);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException(ex);
		}
	}

	private static RawValue service(long revision, String name) {
		return value(revision, "Service", name, "{}");
	}

	private static RawValue server(long revision, String name, String port, String target) {
		return value(revision, "BackendServer", name, "{\"dataCentre\":\"casa\",\"address\":\"10.0.0.1:" + port
				+ "\",\"controlAddress\":\"10.0.0.2:" + port + "\",\"targets\":[\"" + target + "\"]}");
	}

	private static String address(Snapshot snapshot, String server) {
		return snapshot.servers()
			.stream()
			.filter((found) -> found.name().equals(server))
			.map((found) -> found.spec().address())
			.findFirst()
			.orElse("");
	}

	@Test
	void aBadObjectLeavesTheLastGoodOneInForce() {
		Snapshot good = this.builder.fromListing(Snapshot.NONE, EraRevision.ofLong(2),
				List.of(service(1, "desk"), server(2, "s", "80", "desk")));
		Snapshot next = this.builder.fromChanges(good, List.of(server(3, "s", "81", "nowhere")));
		assertThat(next.revision()).isEqualTo(EraRevision.ofLong(3));
		assertThat(address(next, "s")).isEqualTo("10.0.0.1:80");
		assertThat(next.rejected()).hasSize(1);
	}

	@Test
	void anUnreadableObjectLeavesTheLastGoodOneInForce() {
		Snapshot good = this.builder.fromListing(Snapshot.NONE, EraRevision.ofLong(1), List.of(service(1, "desk")));
		Snapshot next = this.builder.fromChanges(good,
				List.of(new RawValue("resources/Service/desk", EraRevision.ofLong(2), json("{\"nonsense\":1}"))));
		assertThat(next.hasService("desk")).isTrue();
		assertThat(next.rejected()).hasSize(1);
	}

	@Test
	void aNewcomerThatClashesIsBlamedNotTheOneInForce() {
		Snapshot good = this.builder.fromListing(Snapshot.NONE, EraRevision.ofLong(2),
				List.of(service(1, "desk"), server(2, "z", "80", "desk")));
		Snapshot next = this.builder.fromChanges(good, List.of(server(3, "a", "80", "desk")));
		assertThat(address(next, "z")).isEqualTo("10.0.0.1:80");
		assertThat(address(next, "a")).isEmpty();
	}

	@Test
	void whatArrivesBeforeWhatItRefersToIsTriedAgain() {
		Snapshot early = this.builder.fromListing(Snapshot.NONE, EraRevision.ofLong(1),
				List.of(server(1, "s", "80", "desk")));
		assertThat(address(early, "s")).isEmpty();
		Snapshot later = this.builder.fromChanges(early, List.of(service(2, "desk")));
		assertThat(address(later, "s")).isEqualTo("10.0.0.1:80");
		assertThat(later.rejected()).isEmpty();
	}

	@Test
	void deletingWhatOthersReferToLeavesThemInForce() {
		Snapshot good = this.builder.fromListing(Snapshot.NONE, EraRevision.ofLong(2),
				List.of(service(1, "desk"), server(2, "s", "80", "desk")));
		Snapshot next = this.builder.fromChanges(good, List.of(deleted(3, "Service", "desk")));
		assertThat(next.hasService("desk")).isFalse();
		assertThat(address(next, "s")).isEqualTo("10.0.0.1:80");
	}

	@Test
	void oldAndRepeatedChangesAreNoNews() {
		Snapshot good = this.builder.fromListing(Snapshot.NONE, EraRevision.ofLong(5), List.of(service(5, "desk")));
		assertThat(this.builder.fromChanges(good, List.of(deleted(4, "Service", "desk"), service(5, "desk"))))
			.isSameAs(good);
	}

	@Test
	void aSnapshotSurvivesItsJourneyToAPeer() throws IOException {
		Snapshot good = this.builder.fromListing(Snapshot.NONE, EraRevision.ofLong(3),
				List.of(service(1, "desk"), server(2, "s", "80", "desk"), server(3, "lost", "81", "nowhere")));
		Snapshot copy = SnapshotCodec.decode(SnapshotCodec.encode(good, EraRevision.NONE, null), Snapshot.NONE);
		assertThat(copy.revision()).isEqualTo(EraRevision.ofLong(3));
		assertThat(copy.resources().all()).isEqualTo(good.resources().all());
		assertThat(copy.pending().all()).isEqualTo(good.pending().all());
	}

	@Test
	void aPeerThatIsBehindGetsOnlyTheChanges() throws IOException {
		Snapshot old = this.builder.fromListing(Snapshot.NONE, EraRevision.ofLong(2),
				List.of(service(1, "desk"), service(2, "shop")));
		Snapshot next = this.builder.fromChanges(old, List.of(service(3, "club"), deleted(4, "Service", "shop")));
		List<ResourceKey> removals = List.of(new ResourceKey(ResourceKind.SERVICE, "shop"));
		byte[] changes = SnapshotCodec.encode(next, EraRevision.ofLong(2), removals);
		assertThat(new String(changes, StandardCharsets.UTF_8)).doesNotContain("desk");
		Snapshot copy = SnapshotCodec.decode(changes, old);
		assertThat(copy.revision()).isEqualTo(EraRevision.ofLong(4));
		assertThat(copy.resources().all()).containsExactlyInAnyOrderElementsOf(next.resources().all());
	}

	@Test
	void changesThatStartFromWhatIsNotHereYetAreNotTaken() throws IOException {
		Snapshot next = this.builder.fromListing(Snapshot.NONE, EraRevision.ofLong(5), List.of(service(5, "desk")));
		byte[] changes = SnapshotCodec.encode(next, EraRevision.ofLong(4), List.of());
		assertThat(SnapshotCodec.decode(changes, Snapshot.NONE)).isSameAs(Snapshot.NONE);
	}

	@Property(seed = "20261202")
	void inAnyOrderTheRevisionNeverFallsAndADeclaredServiceIsNeverDisplacedByABadOne(
			@ForAll @Size(max = 12) List<Boolean> goodOrBad, @ForAll @Size(max = 12) List<Boolean> repeats) {
		Snapshot snapshot = this.builder.fromListing(Snapshot.NONE, EraRevision.ofLong(1), List.of(service(1, "desk")));
		List<RawValue> sent = new ArrayList<>();
		long revision = 1;
		for (int i = 0; i < goodOrBad.size(); i++) {
			revision++;
			RawValue change = goodOrBad.get(i) ? service(revision, "desk")
					: new RawValue("resources/Service/desk", EraRevision.ofLong(revision), json("{\"bad\":" + i + "}"));
			sent.add(change);
			boolean repeatOld = i < repeats.size() && repeats.get(i);
			List<RawValue> batch = repeatOld ? List.of(sent.get(0), change) : List.of(change);
			Snapshot next = this.builder.fromChanges(snapshot, batch);
			assertThat(snapshot.revision().isNewerThan(next.revision())).isFalse();
			assertThat(next.resources().find(ResourceKind.SERVICE, "desk")).isPresent();
			snapshot = next;
		}
	}

}
