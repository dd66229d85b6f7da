package org.snowwind.decide.ledger;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowwind.decide.ledger.AttemptLedger.BeginVerdict;
import org.snowwind.decide.ledger.AttemptLedger.RevokeOutcome;
import org.snowwind.decide.silence.AttentiveTime;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptLedgerTests {

	private static final long ENTRY = 7;

	private final AttentiveTime attentive = newAttentive();

	private final AttemptLedger ledger = new AttemptLedger(4, 2, this.attentive);

	@BeforeEach
	void sendFirstHeartbeat() {
		this.ledger.heartbeat(ENTRY, 1, 0);
	}

	private static AttemptId id(long sequence) {
		return new AttemptId(ENTRY, sequence);
	}

	@Test
	void allHeardAfterNeedsALaterHeartbeatOfEachEntry() {
		AttemptLedger otherLedger = new AttemptLedger(8, 8, newAttentive());
		assertThat(otherLedger.allHeardAfter(100)).isTrue();
		otherLedger.heartbeat(1, 1, 100);
		otherLedger.heartbeat(2, 1, 101);
		assertThat(otherLedger.allHeardAfter(99)).isTrue();
		assertThat(otherLedger.allHeardAfter(100)).isFalse();
		otherLedger.heartbeat(1, 1, 102);
		assertThat(otherLedger.allHeardAfter(100)).isTrue();
	}

	@Test
	void attemptBeginsOnlyOnce() {
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.MAY_BEGIN);
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.DUPLICATE);
		assertThat(this.ledger.revoke(id(1))).isEqualTo(RevokeOutcome.BEGAN);
	}

	@Test
	void revokedAttemptNeverBegins() {
		assertThat(this.ledger.revoke(id(1))).isEqualTo(RevokeOutcome.NEVER_WILL_BEGIN);
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.REVOKED);
		assertThat(this.ledger.revoke(id(1))).isEqualTo(RevokeOutcome.NEVER_WILL_BEGIN);
	}

	@Test
	void attemptsBelowTheFloorAreRejectedAndNotKept() {
		this.ledger.revoke(id(1));
		this.ledger.begin(id(2));
		this.ledger.heartbeat(ENTRY, 3, 0);
		assertThat(this.ledger.size()).isZero();
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.REVOKED);
		assertThat(this.ledger.revoke(id(2))).isEqualTo(RevokeOutcome.CANNOT_SAY);
	}

	@Test
	void reorderedHeartbeatDoesNotLowerTheFloor() {
		this.ledger.heartbeat(ENTRY, 5, 0);
		this.ledger.heartbeat(ENTRY, 2, 0);
		assertThat(this.ledger.begin(id(3))).isEqualTo(BeginVerdict.REVOKED);
	}

	@Test
	void attemptsPerEntryAreBounded() {
		for (long sequence = 1; sequence <= 4; sequence++) {
			this.ledger.begin(id(sequence));
		}
		assertThat(this.ledger.begin(id(5))).isEqualTo(BeginVerdict.FULL);
		assertThat(this.ledger.revoke(id(6))).isEqualTo(RevokeOutcome.CANNOT_SAY);
	}

	@Test
	void silentEntryIsRetiredAndNotAcceptedAgain() {
		this.ledger.retireSilent(1, 0);
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.UNKNOWN_ENTRY);
		this.ledger.heartbeat(ENTRY, 1, 5);
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.UNKNOWN_ENTRY);
	}

	private static AttentiveTime newAttentive() {
		return new AttentiveTime(0, AttentiveTime.LONGEST_STEP_MILLIS);
	}

	@Test
	void entryIsNotRetiredForAPauseOfThisProcess() {
		this.attentive.tick(0);
		this.ledger.heartbeat(ENTRY, 1, 100);
		this.attentive.tick(100);
		this.ledger.retireSilent(200_000, 120_000);
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.MAY_BEGIN);
		for (long nowMillis = 200_000; nowMillis <= 320_000; nowMillis += AttentiveTime.TICK_MILLIS) {
			this.attentive.tick(nowMillis);
		}
		this.ledger.retireSilent(320_000, 120_000);
		assertThat(this.ledger.begin(id(2))).as("silent since the pause").isEqualTo(BeginVerdict.UNKNOWN_ENTRY);
	}

	@Test
	void attemptThatNeverReachedTheBackEndCountsAsRevoked() {
		this.ledger.begin(id(1));
		this.ledger.recordNeverReachedBackend(id(1));
		assertThat(this.ledger.revoke(id(1))).isEqualTo(RevokeOutcome.NEVER_WILL_BEGIN);
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.REVOKED);
	}

	@Property(seed = "20261202")
	void attemptBeginsAtMostOnceAndNeverAfterItWasRevoked(@ForAll("messages") List<Message> messages) {
		AttemptLedger otherLedger = new AttemptLedger(4, 2, newAttentive());
		Set<Long> begun = new HashSet<>();
		Set<Long> revoked = new HashSet<>();
		for (Message message : messages) {
			long sequence = message.sequence();
			switch (message.kind()) {
				case HEARTBEAT -> otherLedger.heartbeat(ENTRY, sequence, message.nowMillis());
				case RETIRE -> otherLedger.retireSilent(message.nowMillis(), 0);
				case BEGIN -> {
					if (otherLedger.begin(id(sequence)) == BeginVerdict.MAY_BEGIN) {
						assertThat(revoked).doesNotContain(sequence);
						assertThat(begun.add(sequence)).isTrue();
					}
				}
				case REVOKE -> {
					if (otherLedger.revoke(id(sequence)) == RevokeOutcome.NEVER_WILL_BEGIN) {
						assertThat(begun).doesNotContain(sequence);
						revoked.add(sequence);
					}
				}
			}
		}
	}

	@Provide
	Arbitrary<List<Message>> messages() {
		Arbitrary<Message> one = Combinators
			.combine(Arbitraries.of(Kind.class), Arbitraries.longs().between(1, 6), Arbitraries.longs().between(0, 20))
			.as(Message::new);
		return one.list().ofMaxSize(40);
	}

	enum Kind {

		HEARTBEAT, BEGIN, REVOKE, RETIRE

	}

	record Message(Kind kind, long sequence, long nowMillis) {
	}

}
