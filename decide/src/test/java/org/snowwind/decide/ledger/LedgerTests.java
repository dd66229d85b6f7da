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
import org.snowwind.decide.ledger.Ledger.BeginVerdict;
import org.snowwind.decide.ledger.Ledger.RevokeOutcome;

import static org.assertj.core.api.Assertions.assertThat;

class LedgerTests {

	private static final long ENTRY = 7;

	private final Ledger ledger = new Ledger(4, 2);

	@BeforeEach
	void greet() {
		this.ledger.heartbeat(ENTRY, 1, 0);
	}

	private static AttemptId id(long sequence) {
		return new AttemptId(ENTRY, sequence);
	}

	@Test
	void allWereHeardOnlyIfEachEntryWas() {
		Ledger subject = new Ledger(8, 8);
		assertThat(subject.allHeardAfter(100)).isTrue();
		subject.heartbeat(1, 1, 100);
		subject.heartbeat(2, 1, 101);
		assertThat(subject.allHeardAfter(99)).isTrue();
		assertThat(subject.allHeardAfter(100)).isFalse();
		subject.heartbeat(1, 1, 102);
		assertThat(subject.allHeardAfter(100)).isTrue();
	}

	@Test
	void anAttemptBeginsOnce() {
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.MAY_BEGIN);
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.DUPLICATE);
		assertThat(this.ledger.revoke(id(1))).isEqualTo(RevokeOutcome.BEGAN);
	}

	@Test
	void aRevokedAttemptNeverBegins() {
		assertThat(this.ledger.revoke(id(1))).isEqualTo(RevokeOutcome.NEVER_WILL_BEGIN);
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.REVOKED);
		assertThat(this.ledger.revoke(id(1))).isEqualTo(RevokeOutcome.NEVER_WILL_BEGIN);
	}

	@Test
	void belowTheFloorNothingBeginsAndNothingIsKept() {
		this.ledger.revoke(id(1));
		this.ledger.begin(id(2));
		this.ledger.heartbeat(ENTRY, 3, 0);
		assertThat(this.ledger.size()).isZero();
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.REVOKED);
		assertThat(this.ledger.revoke(id(2))).isEqualTo(RevokeOutcome.CANNOT_SAY);
	}

	@Test
	void aLateHeartbeatDoesNotLowerTheFloor() {
		this.ledger.heartbeat(ENTRY, 5, 0);
		this.ledger.heartbeat(ENTRY, 2, 0);
		assertThat(this.ledger.begin(id(3))).isEqualTo(BeginVerdict.REVOKED);
	}

	@Test
	void memoryIsBounded() {
		for (long sequence = 1; sequence <= 4; sequence++) {
			this.ledger.begin(id(sequence));
		}
		assertThat(this.ledger.begin(id(5))).isEqualTo(BeginVerdict.FULL);
		assertThat(this.ledger.revoke(id(6))).isEqualTo(RevokeOutcome.CANNOT_SAY);
	}

	@Test
	void aSilentEntryIsRefusedForGood() {
		this.ledger.retireSilent(1);
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.UNKNOWN_ENTRY);
		this.ledger.heartbeat(ENTRY, 1, 5);
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.UNKNOWN_ENTRY);
	}

	@Test
	void workThatNeverReachedTheBackEndNeverBegins() {
		this.ledger.begin(id(1));
		this.ledger.neverReachedBackend(id(1));
		assertThat(this.ledger.revoke(id(1))).isEqualTo(RevokeOutcome.NEVER_WILL_BEGIN);
		assertThat(this.ledger.begin(id(1))).isEqualTo(BeginVerdict.REVOKED);
	}

	@Property(seed = "20261202")
	void inAnyOrderAnAttemptBeginsAtMostOnceAndNeverAgainstAPromise(@ForAll("messages") List<Message> messages) {
		Ledger subject = new Ledger(4, 2);
		Set<Long> begun = new HashSet<>();
		Set<Long> promisedNotToBegin = new HashSet<>();
		for (Message message : messages) {
			long sequence = message.sequence();
			switch (message.kind()) {
				case HEARTBEAT -> subject.heartbeat(ENTRY, sequence, message.nowMillis());
				case RETIRE -> subject.retireSilent(message.nowMillis());
				case BEGIN -> {
					if (subject.begin(id(sequence)) == BeginVerdict.MAY_BEGIN) {
						assertThat(promisedNotToBegin).doesNotContain(sequence);
						assertThat(begun.add(sequence)).isTrue();
					}
				}
				case REVOKE -> {
					if (subject.revoke(id(sequence)) == RevokeOutcome.NEVER_WILL_BEGIN) {
						assertThat(begun).doesNotContain(sequence);
						promisedNotToBegin.add(sequence);
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
