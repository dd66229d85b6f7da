package org.snowwind.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.snowwind.model.MonotonicClock;
import org.snowwind.store.Freshness;
import org.snowwind.wire.generated.CopyClaim;
import org.snowwind.wire.generated.ExchangeStamp;
import org.snowwind.wire.generated.GatewayReport;

/**
 * Exchanges with peers what each has confirmed of the store's objects.
 *
 * <p>
 * A claim may have been under way for any time. An answer to a call was composed after
 * the call was sent. A call was composed, by this clock, no sooner than this process
 * composed the answer that the caller names in its stamp, and as much later as the caller
 * waited since. Reports are written on any thread; the rest is confined to one.
 */
public final class StoreClaims {

	private final Map<String, Freshness> copies;

	private final long incarnation;

	private final MonotonicClock clock;

	/** The last answer of each peer, by its address. */
	private final Map<String, Heard> heard = new HashMap<>();

	/**
	 * Creates claims of which no peer knows.
	 * @param copies the copies by the prefix of their keys
	 * @param incarnation tells this process from others that had its address
	 * @param clock tells the time
	 */
	public StoreClaims(Map<String, Freshness> copies, long incarnation, MonotonicClock clock) {
		this.copies = Map.copyOf(copies);
		this.incarnation = incarnation;
		this.clock = clock;
	}

	/**
	 * Adds to a report what this process may claim.
	 * @param report the report
	 */
	public void write(GatewayReport report) {
		// The clock is read first, so that no claim is older than it seems.
		report.setComposedMillis(this.clock.nowMillis());
		List<CopyClaim> claims = new ArrayList<>();
		this.copies.forEach((prefix, freshness) -> {
			Optional<Freshness.Claim> claim = freshness.claim();
			claim.ifPresent((made) -> claims
				.add(new CopyClaim(prefix, made.changedRevision(), made.coveredRevision(), made.ageMillis())));
		});
		report.setClaims(claims);
	}

	/**
	 * Returns what lets a peer tell when a report was composed.
	 * @param address the peer's control address
	 * @param report the report
	 * @return the stamp, an empty one if the peer was not heard since the report
	 */
	ExchangeStamp stamp(String address, GatewayReport report) {
		Heard last = this.heard.get(address);
		if (last == null || last.receivedMillis > report.getComposedMillis()) {
			return new ExchangeStamp(0, 0, 0);
		}
		return new ExchangeStamp(last.incarnation, last.composedMillis,
				report.getComposedMillis() - last.receivedMillis);
	}

	/**
	 * Takes the answer to a call.
	 * @param address the peer's control address
	 * @param answer the answer
	 * @param sentMillis when the call was sent, in milliseconds
	 * @param receivedMillis when the answer came, or later, in milliseconds
	 */
	void answered(String address, GatewayReport answer, long sentMillis, long receivedMillis) {
		this.heard.put(address, new Heard(answer.getIncarnation(), answer.getComposedMillis(), receivedMillis));
		take(answer, sentMillis);
	}

	/**
	 * Takes the report of a call.
	 * @param report the report
	 * @param stamp lets this process tell when it was composed
	 */
	void called(GatewayReport report, ExchangeStamp stamp) {
		boolean known = stamp != null && stamp.getIncarnation() == this.incarnation && stamp.getSinceMillis() >= 0;
		take(report, known ? stamp.getComposedMillis() + stamp.getSinceMillis() : Long.MIN_VALUE);
	}

	private void take(GatewayReport report, long madeMillis) {
		if (!report.isSetClaims()) {
			return;
		}
		for (CopyClaim claim : report.getClaims()) {
			Freshness freshness = this.copies.get(claim.getPrefix());
			if (freshness != null) {
				freshness.claimed(new Freshness.Claim(claim.getChangedRevision(), claim.getCoveredRevision(),
						claim.getAgeMillis()), report.getControlAddress(), madeMillis);
			}
		}
	}

	/**
	 * Forgets peers that are gone.
	 * @param known the addresses of those that are not
	 */
	void retain(Set<String> known) {
		this.heard.keySet().retainAll(known);
	}

	/**
	 * The last answer of a peer.
	 *
	 * @param incarnation the incarnation of the peer that composed it
	 * @param composedMillis when, by the peer's clock, in milliseconds
	 * @param receivedMillis when it came, in milliseconds
	 */
	private record Heard(long incarnation, long composedMillis, long receivedMillis) {

	}

}
