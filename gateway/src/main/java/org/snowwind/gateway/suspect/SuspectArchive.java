package org.snowwind.gateway.suspect;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.snowwind.decide.blame.PartBlame;
import org.snowwind.decide.blame.PartEnd;
import org.snowwind.decide.blame.ServerEnd;
import org.snowwind.gateway.suspect.SuspectDocument.SeenEnd;
import org.snowwind.model.EraRevision;
import org.snowwind.store.ListResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WriteResult;

/**
 * What stands in the platform of suspects, for operators, who are one more writer.
 * Blocks.
 */
public final class SuspectArchive {

	private static final String OPERATOR_KEY = SuspectBook.PREFIX + "released-by-operators";

	private final ObjectStore store;

	/**
	 * Creates an archive.
	 * @param store the platform
	 */
	public SuspectArchive(ObjectStore store) {
		this.store = store;
	}

	/**
	 * Lists all suspects.
	 * @return what all gateways have written, empty if the platform does not answer
	 */
	public Optional<Listing> list() {
		return objects()
			.map((objects) -> objects.stream().map((object) -> SuspectDocument.read(object.value())).toList())
			.map((documents) -> {
				Map<ServerEnd, List<SeenEnd>> ends = SuspectDocument.standing(documents);
				return new Listing(ends, SuspectView.of(ends.keySet(), SuspectDocument.cleared(documents),
						SuspectDocument.parts(documents)));
			});
	}

	private Optional<List<StoredObject>> objects() {
		return this.store.list(SuspectBook.PREFIX)
			.match((listed) -> Optional.of(listed.objects()), (ListResult.Away away) -> Optional.empty());
	}

	/**
	 * Releases a request or a part of prompts: the ends so far speak no longer against
	 * it. Ends that come later do.
	 * @param name the digest of the request or the key of the part
	 * @return how many ends it was released from, empty if the platform did not take it
	 */
	public Optional<Integer> release(String name) {
		Optional<List<StoredObject>> objects = objects();
		if (objects.isEmpty()) {
			return Optional.empty();
		}
		List<SuspectDocument> documents = new ArrayList<>();
		EraRevision revision = EraRevision.NONE;
		SuspectDocument own = SuspectDocument.EMPTY;
		for (StoredObject object : objects.get()) {
			documents.add(SuspectDocument.read(object.value()));
			if (object.key().equals(OPERATOR_KEY)) {
				own = SuspectDocument.read(object.value());
				revision = object.revision();
			}
		}
		List<ServerEnd> released = SuspectDocument.standing(documents)
			.keySet()
			.stream()
			.filter((end) -> end.request().equals(name))
			.toList();
		Set<ServerEnd> cleared = new LinkedHashSet<>(own.cleared());
		cleared.addAll(released);
		List<PartEnd> ofPart = SuspectDocument.parts(documents)
			.ends()
			.stream()
			.filter((end) -> end.part().equals(name))
			.toList();
		List<PartEnd> releasedOfPart = PartBlame.standing(ofPart, SuspectDocument.parts(documents).answeredRounds());
		Map<String, Integer> answered = new HashMap<>(own.parts().answeredRounds());
		releasedOfPart.forEach((end) -> answered.merge(name, end.round(), Math::max));
		WriteResult result = this.store.put(OPERATOR_KEY, revision, new SuspectDocument(own.ends(), cleared,
				own.alive(), new PartEvidence(own.parts().ends(), Map.copyOf(answered)))
			.toJson());
		return (result instanceof WriteResult.Written) ? Optional.of(released.size() + releasedOfPart.size())
				: Optional.empty();
	}

	/**
	 * All suspects.
	 *
	 * @param ends who saw each end
	 * @param view whom they blame
	 */
	public record Listing(Map<ServerEnd, List<SeenEnd>> ends, SuspectView view) {

	}

}
