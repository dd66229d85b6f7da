package org.snowwind.decide.blame;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PartBlame}.
 */
class PartBlameTests {

	private final List<PartEnd> ends = new ArrayList<>();

	private final List<ServerEnd> requestEnds = new ArrayList<>();

	private final Map<String, Integer> answeredRounds = new HashMap<>();

	private void ended(String server, int round, String... parts) {
		for (int depth = 0; depth < parts.length; depth++) {
			this.ends.add(new PartEnd(parts[depth], "org", server, round, depth));
		}
		this.requestEnds.add(new ServerEnd("request-" + server, server));
	}

	private List<String> blamed() {
		return PartBlame.blamedParts(this.ends, this.answeredRounds, this.requestEnds)
			.stream()
			.map(BlamedPart::part)
			.toList();
	}

	private void threeEnds(String... parts) {
		for (int round = 1; round <= 3; round++) {
			ended("s" + round, round, parts);
		}
	}

	@Test
	void partAtFewEndsOfTwoRoundsIsNotBlamed() {
		ended("s1", 1, "bad");
		ended("s2", 1, "bad");
		ended("s3", 2, "bad");
		ended("s4", 2, "bad");
		assertThat(blamed()).isEmpty();
		ended("s5", 3, "bad");
		assertThat(blamed()).containsExactly("bad");
	}

	@Test
	void partAtFiveEndsIsBlamedAfterTwoRounds() {
		for (int server = 0; server < 4; server++) {
			ended("s" + server, 1, "bad");
		}
		assertThat(blamed()).isEmpty();
		ended("s4", 2, "bad");
		assertThat(blamed()).containsExactly("bad");
	}

	@Test
	void lossOfManyServersAtOnceBlamesNoPart() {
		for (int server = 0; server < 50; server++) {
			ended("s" + server, 1, "common", "route");
		}
		assertThat(blamed()).isEmpty();
	}

	@Test
	void answerAfterAnEndClearsAPart() {
		threeEnds("bad");
		this.answeredRounds.put("bad", 1);
		assertThat(blamed()).isEmpty();
	}

	@Test
	void partAnsweredBeforeTheEndsIsBlamedLater() {
		threeEnds("bad");
		this.answeredRounds.put("bad", 0);
		assertThat(blamed()).isEmpty();
		ended("s4", 4, "bad");
		ended("s5", 5, "bad");
		assertThat(blamed()).containsExactly("bad");
	}

	@Test
	void commonPartIsNotBlamedWithTheOneThatEndsServers() {
		threeEnds("common", "bad");
		this.answeredRounds.put("common", 0);
		ended("s4", 4, "common");
		ended("s5", 5, "common");
		assertThat(blamed()).containsExactly("bad");
	}

	@Test
	void deeperOfTwoPartsThatCannotBeToldApartIsBlamed() {
		threeEnds("common", "bad");
		ended("s4", 3, "common");
		assertThat(blamed()).containsExactly("bad");
	}

	@Test
	void firstPartIsBlamedIfDeeperOnesExplainFewOfItsEnds() {
		for (int round = 1; round <= 4; round++) {
			ended("s" + round, round, "bad", "session-" + round);
		}
		assertThat(blamed()).containsExactly("bad");
	}

	@Test
	void twoPartsThatEndServersAreBothBlamed() {
		threeEnds("bad");
		for (int round = 1; round <= 3; round++) {
			ended("t" + round, round, "worse");
		}
		assertThat(blamed()).containsExactlyInAnyOrder("bad", "worse");
	}

	@Test
	void partsOfASingleRequestAreNotBlamedForIt() {
		threeEnds("session");
		for (int round = 1; round <= 3; round++) {
			this.requestEnds.add(new ServerEnd("fatal", "s" + round));
		}
		assertThat(blamed()).isEmpty();
	}

	@Test
	void noPartIsBlamedEarlyWhileManyOthersAreAtEndsElsewhere() {
		threeEnds("session");
		for (int other = 0; other < 4; other++) {
			ended("t" + other, 1, "other-" + other);
			ended("u" + other, 2, "other-" + other);
		}
		assertThat(blamed()).isEmpty();
	}

	@Test
	void whatOneOrganisationSendsBlocksNobodyElse() {
		threeEnds("bad");
		BlamedPart part = PartBlame.blamedParts(this.ends, this.answeredRounds, this.requestEnds).get(0);
		assertThat(part.appliesTo("org")).isTrue();
		assertThat(part.appliesTo("other")).isFalse();
		this.ends.add(new PartEnd("bad", "another", "s9", 4, 0));
		part = PartBlame.blamedParts(this.ends, this.answeredRounds, this.requestEnds).get(0);
		assertThat(part.appliesTo("other")).as("two organisations were at ends").isTrue();
	}

	@Test
	void sharedPartIsNotBlamedBeforeDeeperOnesThatEndServersInTurn() {
		ended("s1", 1, "common", "bad");
		ended("s2", 2, "common", "worse");
		ended("s3", 3, "common", "bad");
		assertThat(blamed()).isEmpty();
		ended("s4", 4, "common", "worse");
		ended("s5", 4, "common", "bad");
		assertThat(blamed()).containsExactly("bad");
	}

	@Test
	void partMayBeTriedOnlyIfItsLastRoundDecided() {
		threeEnds("bad");
		assertThat(PartBlame.blamedParts(this.ends, this.answeredRounds, this.requestEnds)).singleElement()
			.matches(BlamedPart::allowsTrial);
		ended("s4", 4, "bad");
		assertThat(PartBlame.blamedParts(this.ends, this.answeredRounds, this.requestEnds)).singleElement()
			.matches((part) -> !part.allowsTrial());
	}

}
