package org.snowwind.gateway.suspect;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.snowwind.decide.blame.PartEnd;
import org.snowwind.decide.blame.ServerEnd;
import org.snowwind.gateway.suspect.SuspectDocument.SeenEnd;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.model.ManualClock;
import org.snowwind.store.ListResult;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SuspectBook}: who learns of ends, what outlives a restart, what is
 * forgotten.
 */
class SuspectBookTests {

	private static final String FATAL = "421-aa";

	private static final String BAD = "chat/bad";

	private final ManualClock clock = new ManualClock(5000);

	private final MemoryObjectStore store = new MemoryObjectStore();

	private final SuspectBook first = book("g1");

	private final AnsweredParts answeredAtSecond = new AnsweredParts();

	private final SuspectBook second = new SuspectBook(this.store, "g2", this.answeredAtSecond, () -> 0, this.clock);

	private SuspectBook book(String name) {
		return new SuspectBook(this.store, name, new AnsweredParts(), () -> 0, this.clock);
	}

	private static SeenEnd end(String request, String server) {
		return new SeenEnd(new ServerEnd(request, server), "org", 100);
	}

	private void write(SuspectBook book) {
		this.clock.advance(SuspectBook.WRITE_EVERY_MILLIS);
		book.forget();
		book.round();
	}

	private void read(SuspectBook book) {
		book.listed(new ListResult.Listed(this.store.revision(), this.store.all()));
	}

	private void share(SuspectBook... books) {
		for (SuspectBook book : books) {
			write(book);
		}
		for (SuspectBook book : books) {
			read(book);
		}
	}

	@Test
	void endsThatSeveralGatewaysSawBlameTogether() {
		this.first.ended(end(FATAL, "s1"));
		this.first.ended(end(FATAL, "s2"));
		this.second.ended(end(FATAL, "s3"));
		assertThat(this.first.view().blames(FATAL)).as("what one saw alone").isFalse();
		share(this.first, this.second);
		assertThat(this.first.view().blames(FATAL)).isTrue();
		assertThat(this.second.view().blames(FATAL)).isTrue();
	}

	@Test
	void aGatewayThatStartsLearnsAllThatWasWritten() {
		this.first.ended(end(FATAL, "s1"));
		this.second.ended(end(FATAL, "s2"));
		this.second.ended(end(FATAL, "s3"));
		share(this.first, this.second);
		SuspectBook third = book("g3");
		read(third);
		assertThat(third.view().blames(FATAL)).isTrue();
	}

	@Test
	void aRestartDoesNotOverwriteWhatTheEarlierLifeWrote() {
		this.first.ended(end(FATAL, "s1"));
		this.first.ended(end(FATAL, "s2"));
		write(this.first);
		SuspectBook restarted = book("g1");
		restarted.ended(end(FATAL, "s3"));
		write(restarted);
		write(restarted);
		read(this.second);
		assertThat(this.second.view().serversOf(FATAL)).containsExactlyInAnyOrder("s1", "s2", "s3");
	}

	@Test
	void aWriteThatConflictsIsMadeAgainWithBoth() {
		this.first.ended(end(FATAL, "s1"));
		write(this.first);
		this.store.overwrite("suspects/g1",
				new SuspectDocument(List.of(end(FATAL, "s2")), Set.of(), Set.of(), PartEvidence.EMPTY).toJson());
		this.first.ended(end(FATAL, "s3"));
		write(this.first);
		write(this.first);
		read(this.second);
		assertThat(this.second.view().blames(FATAL)).isTrue();
	}

	@Test
	void whileThePlatformIsAwayAGatewayGoesByWhatItSawAndWritesLater() {
		this.store.away = true;
		for (String server : List.of("s1", "s2", "s3")) {
			this.first.ended(end(FATAL, server));
		}
		write(this.first);
		assertThat(this.first.view().blames(FATAL)).isTrue();
		this.store.away = false;
		write(this.first);
		read(this.second);
		assertThat(this.second.view().blames(FATAL)).isTrue();
	}

	@Test
	void nothingIsWrittenWithoutNews() {
		write(this.first);
		this.first.ended(end(FATAL, "s1"));
		this.first.ended(end(FATAL, "s2"));
		write(this.first);
		write(this.first);
		assertThat(this.store.writes).isEqualTo(1);
	}

	@Test
	void anAnswerClearsARequestEverywhere() {
		this.first.ended(end(FATAL, "s1"));
		this.first.ended(end(FATAL, "s2"));
		share(this.first, this.second);
		this.second.answered(FATAL);
		share(this.second, this.first);
		this.first.ended(end(FATAL, "s3"));
		share(this.first, this.second);
		assertThat(this.second.view().serversOf(FATAL)).containsExactly("s3");
		assertThat(this.first.view().blames(FATAL)).isFalse();
	}

	@Test
	void oneEndIsNotWorthClearing() {
		this.first.ended(end(FATAL, "s1"));
		write(this.first);
		this.first.answered(FATAL);
		write(this.first);
		assertThat(this.store.writes).isEqualTo(1);
	}

	@Test
	void anEndThatIsTakenBackSpeaksAgainstNobody() {
		for (String server : List.of("s1", "s2", "s3")) {
			this.first.ended(end(FATAL, server));
		}
		share(this.first, this.second);
		this.second.lives("s2");
		share(this.second, this.first);
		assertThat(this.first.view().blames(FATAL)).isFalse();
	}

	@Test
	void aSuspectIsForgottenAfterAnHourAndABlamedRequestAfterADay() {
		this.first.ended(end("7-bb", "s1"));
		for (String server : List.of("s1", "s2", "s3")) {
			this.first.ended(end(FATAL, server));
		}
		write(this.first);
		this.clock.advance(OwnSuspects.KEEP_MILLIS);
		write(this.first);
		read(this.second);
		assertThat(this.second.view().suspects()).containsExactly(FATAL);
		assertThat(this.second.view().blames(FATAL)).isTrue();
		this.clock.advance(OwnSuspects.KEEP_BLAMED_MILLIS);
		write(this.first);
		read(this.second);
		assertThat(this.second.view().suspects()).isEmpty();
	}

	@Test
	void whatAGatewayThatIsGoneLeftIsDeletedInTheEnd() {
		this.first.ended(end(FATAL, "s1"));
		write(this.first);
		read(this.second);
		write(this.second);
		assertThat(this.store.objects).containsKey("suspects/g1");
		this.clock.advance(SuspectBook.DELETE_MILLIS);
		write(this.second);
		assertThat(this.store.objects).isEmpty();
	}

	@Test
	void oneOrganisationTakesNobodyElsesRoom() {
		this.first.ended(new SeenEnd(new ServerEnd("3-cc", "s0"), "quiet", 100));
		for (int i = 0; i < 10 * OwnSuspects.MOST; i++) {
			this.first.ended(end(i + "-dd", "s" + i));
		}
		write(this.first);
		read(this.second);
		assertThat(this.second.view().suspects()).contains("3-cc").hasSize(OwnSuspects.MOST_OF_ORGANISATION + 1);
	}

	@Test
	void documentsOfOtherWritersThatAreNotWholeHideNothing() {
		this.store.put("suspects/odd", EraRevision.NONE, Json.MAPPER.createArrayNode().add(7));
		this.store.put("suspects/odder", EraRevision.NONE, Json.MAPPER.valueToTree(Map.of("ends",
				List.of("x", Map.of("request", 7, "server", "s")), "cleared", Map.of("a", 1), "alive", List.of(3))));
		for (String server : List.of("s1", "s2", "s3")) {
			this.first.ended(end(FATAL, server));
		}
		share(this.first, this.second);
		assertThat(this.second.view().suspects()).containsExactly(FATAL);
	}

	private static List<PartEnd> partEnd(String server, int round) {
		return List.of(new PartEnd(BAD, "org", server, round, 1));
	}

	private int knownRounds(SuspectBook book) {
		return book.view().parts().atSend(List.of(BAD)).get(0).knownRounds();
	}

	@Test
	void partEndsThatSeveralGatewaysSawBlameTogetherAlsoAfterARestart() {
		this.first.endedWithParts(partEnd("s1", 1));
		this.second.endedWithParts(partEnd("s2", 2));
		share(this.first, this.second);
		this.second.endedWithParts(partEnd("s3", 3));
		share(this.first, this.second);
		SuspectBook restarted = book("g1");
		read(restarted);
		assertThat(List.of(this.first, this.second, restarted)).allMatch((book) -> book.view().parts().isBlamed(BAD));
		assertThat(knownRounds(restarted)).isEqualTo(3);
	}

	@Test
	void partIsBlamedWhileTheStoreIsAwayAndByOthersOnceItIsBack() {
		this.store.away = true;
		for (int round = 1; round <= 3; round++) {
			this.first.endedWithParts(partEnd("s" + round, round));
		}
		write(this.first);
		assertThat(this.first.view().parts().isBlamed(BAD)).isTrue();
		this.store.away = false;
		write(this.first);
		read(this.second);
		assertThat(this.second.view().parts().isBlamed(BAD)).isTrue();
	}

	@Test
	void partStaysBlamedAfterTheStoreWasRestoredFromACopyWithoutIt() {
		for (int round = 1; round <= 3; round++) {
			this.first.endedWithParts(partEnd("s" + round, round));
		}
		share(this.first, this.second);
		this.store.objects.clear();
		this.first.restored(this.store.revision(), this.store.revision());
		read(this.second);
		assertThat(this.second.view().parts().isBlamed(BAD)).as("lost with the copy").isFalse();
		write(this.first);
		read(this.second);
		assertThat(this.second.view().parts().isBlamed(BAD)).isTrue();
	}

	@Test
	void endReportedTwiceOrLateAddsNoRound() {
		this.first.endedWithParts(partEnd("s1", 1));
		this.second.endedWithParts(partEnd("s1", 2));
		this.first.endedWithParts(partEnd("s2", 2));
		share(this.first, this.second);
		this.second.endedWithParts(partEnd("s2", 3));
		share(this.first, this.second);
		assertThat(knownRounds(this.first)).isEqualTo(2);
		assertThat(this.first.view().parts().isBlamed(BAD)).isFalse();
	}

	@Test
	void answerThatOneGatewaySawClearsAPartAtAll() {
		this.first.endedWithParts(partEnd("s1", 1));
		share(this.first, this.second);
		this.answeredAtSecond.record(new SuspectPart(BAD, 1, 1));
		this.second.recordAnswers();
		this.first.endedWithParts(partEnd("s2", 2));
		this.first.endedWithParts(partEnd("s3", 3));
		share(this.second, this.first);
		assertThat(this.first.view().parts().isBlamed(BAD)).isFalse();
		assertThat(this.first.view().parts().endsOf(BAD)).isEqualTo(2);
	}

	@Test
	void endAfterEarlierOnesWereForgottenCountsAlthoughTheyWereCleared() {
		this.second.endedWithParts(partEnd("s1", 1));
		this.answeredAtSecond.record(new SuspectPart(BAD, 1, 1));
		this.second.recordAnswers();
		write(this.second);
		this.clock.advance(OwnSuspects.KEEP_MILLIS + 1);
		write(this.second);
		this.second.endedWithParts(partEnd("s2", knownRounds(this.second) + 1));
		assertThat(this.second.view().parts().endsOf(BAD)).isEqualTo(1);
	}

}
