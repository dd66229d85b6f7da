package org.snowwind.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.snowwind.model.EraRevision;
import org.snowwind.model.MonotonicClock;
import org.snowwind.store.Freshness;
import org.snowwind.wire.generated.CopyClaim;
import org.snowwind.wire.generated.ExchangeStamp;
import org.snowwind.wire.generated.GatewayReport;

/**
 * Exchanges claims with peers about how recently each has confirmed its copies of the
 * store's objects.
 *
 * <p>
 * A claim may have been in transit for any time, so a lower bound for the time at which
 * it was composed is needed. An answer was composed after its call was sent. A call was
 * composed no earlier than the moment at which this process composed the answer that the
 * caller names in its stamp, plus the time that the caller measured since it received
 * that answer. Claims are added to reports on any thread; all else is confined to one
 * thread.
 */
public final class StoreClaims {

	private final Map<String, Freshness> copies;

	private final long incarnation;

	private final MonotonicClock clock;

	/** The last answer of each peer, by address. */
	private final Map<String, LastAnswer> lastAnswers = new HashMap<>();

	/**
	 * Creates the claims of a process that has not heard from a peer.
	 * @param copies the freshness of each copy by the prefix of its keys
	 * @param incarnation distinguishes this process from earlier ones at the same address
	 * @param clock provides the current time
	 */
	public StoreClaims(Map<String, Freshness> copies, long incarnation, MonotonicClock clock) {
		this.copies = Map.copyOf(copies);
		this.incarnation = incarnation;
		this.clock = clock;
	}

	/**
	 * Adds the claims of this process to a report.
	 * @param report the report
	 */
	public void addClaims(GatewayReport report) {
		// The clock is read first, so that a peer does not underestimate the age of a
		// claim.
		report.setComposedMillis(this.clock.nowMillis());
		List<CopyClaim> claims = new ArrayList<>();
		this.copies.forEach((prefix, freshness) -> {
			Optional<Freshness.Claim> claim = freshness.claim();
			claim.ifPresent((present) -> claims.add(new CopyClaim(prefix, present.changedRevision().toLong(),
					present.coveredRevision().toLong(), present.ageMillis())));
		});
		report.setClaims(claims);
	}

	/**
	 * Returns the stamp by which a peer determines when a report was composed.
	 * @param address the peer's control address
	 * @param report the report
	 * @return the stamp, an empty one if there is no answer of the peer or its last one
	 * was received after the report was composed
	 */
	ExchangeStamp stamp(String address, GatewayReport report) {
		LastAnswer last = this.lastAnswers.get(address);
		if (last == null || last.receivedMillis > report.getComposedMillis()) {
			return new ExchangeStamp(0, 0, 0);
		}
		return new ExchangeStamp(last.incarnation, last.composedMillis,
				report.getComposedMillis() - last.receivedMillis);
	}

	/**
	 * Applies the answer to a call.
	 * @param address the peer's control address
	 * @param answer the answer
	 * @param sentMillis when the call was sent, in milliseconds
	 * @param receivedMillis when the answer was received, or later, in milliseconds
	 */
	void acceptAnswer(String address, GatewayReport answer, long sentMillis, long receivedMillis) {
		this.lastAnswers.put(address,
				new LastAnswer(answer.getIncarnation(), answer.getComposedMillis(), receivedMillis));
		applyClaims(answer, sentMillis);
	}

	/**
	 * Applies the report in a call of a peer.
	 * @param report the report
	 * @param stamp determines when the report was composed
	 */
	void acceptCall(GatewayReport report, ExchangeStamp stamp) {
		boolean verifiable = stamp != null && stamp.getIncarnation() == this.incarnation && stamp.getSinceMillis() >= 0;
		applyClaims(report, verifiable ? stamp.getComposedMillis() + stamp.getSinceMillis() : Long.MIN_VALUE);
	}

	private void applyClaims(GatewayReport report, long composedAfterMillis) {
		if (!report.isSetClaims()) {
			return;
		}
		for (CopyClaim claim : report.getClaims()) {
			Freshness freshness = this.copies.get(claim.getPrefix());
			if (freshness != null && claim.getChangedRevision() >= 0 && claim.getCoveredRevision() >= 0) {
				freshness.claimed(
						new Freshness.Claim(EraRevision.ofLong(claim.getChangedRevision()),
								EraRevision.ofLong(claim.getCoveredRevision()), claim.getAgeMillis()),
						report.getControlAddress(), composedAfterMillis);
			}
		}
	}

	/**
	 * Removes the peers that no longer exist.
	 * @param known the addresses of the peers that still exist
	 */
	void retain(Set<String> known) {
		this.lastAnswers.keySet().retainAll(known);
	}

	/**
	 * The last answer of a peer.
	 *
	 * @param incarnation the incarnation of the peer that composed it
	 * @param composedMillis when it was composed by the peer's clock, in milliseconds
	 * @param receivedMillis when it was received, in milliseconds
	 */
	private record LastAnswer(long incarnation, long composedMillis, long receivedMillis) {

	}

}
