package org.snowwind.gateway.suspect;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.snowwind.decide.blame.PartEnd;
import org.snowwind.model.Json;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PartEvidence} and {@link OwnParts}.
 */
class PartEvidenceTests {

	private static PartEnd end(String part, String organisation, String server, int round) {
		return new PartEnd(part, organisation, server, round, 1);
	}

	@Test
	void whatIsWrittenIsRead() {
		PartEvidence evidence = new PartEvidence(List.of(end("chat/bad", "org", "s1", 2)), Map.of("chat/c0", 3));
		assertThat(PartEvidence.read(evidence.toJson())).isEqualTo(evidence);
	}

	@Test
	void malformedEntriesOfOtherWritersAreIgnored() throws Exception {
		PartEvidence read = PartEvidence.read(Json.MAPPER.readTree("""
				{"ends":[7,{"part":3,"server":"s"},{"part":"p"},{"part":"p","server":"s","round":-4,"depth":"x"}],
				"answered":[{"part":"%s","round":1},{"round":2},{"part":"q","round":"many"}]}
				""".formatted("x".repeat(300))));
		assertThat(read.ends()).containsExactly(new PartEnd("p", "", "s", 1, 0));
		assertThat(read.answeredRounds()).containsExactly(Map.entry("q", 0));
		assertThat(PartEvidence.read(Json.MAPPER.missingNode())).isEqualTo(PartEvidence.EMPTY);
	}

	@Test
	void endCountsInTheEarliestRoundReported() {
		PartEvidence one = new PartEvidence(List.of(end("p", "a", "s1", 3)), Map.of("q", 1));
		PartEvidence other = new PartEvidence(List.of(end("p", "b", "s1", 1), end("p", "b", "s2", 2)), Map.of("q", 4));
		PartEvidence joined = PartEvidence.join(List.of(one, other), Set.of("s2"));
		assertThat(joined.ends()).containsExactlyInAnyOrder(end("p", "a", "s1", 1), end("p", "b", "s1", 1));
		assertThat(joined.answeredRounds()).containsEntry("q", 4);
	}

	@Test
	void manyPartsOfOneOrganisationDisplaceNeitherRepeatedOnesNorThoseOfOthers() {
		OwnParts parts = new OwnParts(new AnsweredParts());
		parts.add(end("quiet", "quiet", "s1", 1), 0);
		parts.add(end("bad", "org", "s1", 1), 0);
		parts.add(end("bad", "org", "s2", 2), 0);
		for (int i = 0; i < 3 * OwnParts.MAX_ENTRIES; i++) {
			parts.add(end("made-up-" + i, "org", "s" + i, 1), 0);
		}
		assertThat(parts.evidence().ends()).hasSize(OwnParts.MAX_OF_ORGANISATION + 1)
			.contains(end("quiet", "quiet", "s1", 1), end("bad", "org", "s1", 1), end("bad", "org", "s2", 2));
	}

	@Test
	void endIsForgottenAfterAnHourUnlessItsPartIsBlamed() {
		OwnParts parts = new OwnParts(new AnsweredParts());
		parts.add(end("p", "org", "s1", 1), 0);
		parts.add(end("bad", "org", "s1", 1), 0);
		assertThat(parts.forget("bad"::equals, OwnSuspects.KEEP_MILLIS + 1)).isTrue();
		assertThat(parts.evidence().ends()).containsExactly(end("bad", "org", "s1", 1));
		assertThat(parts.forget("bad"::equals, OwnSuspects.KEEP_BLAMED_MILLIS + 1)).isTrue();
		assertThat(parts.evidence()).isEqualTo(PartEvidence.EMPTY);
	}

	@Test
	void fewAnswersAreRemembered() {
		AnsweredParts answered = new AnsweredParts();
		for (int i = 0; i <= AnsweredParts.MAX_PARTS; i++) {
			answered.record(new SuspectPart("p" + i, 0, 2));
		}
		answered.record(new SuspectPart("p9", 0, 1));
		assertThat(answered.roundOf("p0")).isEqualTo(-1);
		assertThat(answered.roundOf("p9")).as("an answer to an earlier send").isEqualTo(2);
	}

}
