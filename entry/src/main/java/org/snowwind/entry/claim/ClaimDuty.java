package org.snowwind.entry.claim;

import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.codec.digest.DigestUtils;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.model.duty.Pause;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.VerifiedWrites;
import org.snowwind.store.WriteResult;

/**
 * The duty of claiming idempotency keys, where duplicates of a request meet.
 *
 * <p>
 * A key is claimed by a conditional create before the work runs. When the platform is
 * away, or its answer stays lost, the request is refused and has not run.
 */
public final class ClaimDuty implements AutoCloseable {

	private static final String PREFIX = "claims/";

	private static final int RING_SIZE = 1024;

	private static final long TICK_MILLIS = 60_000;

	private static final long AWAY_RETRY_MILLIS = 5000;

	/**
	 * How long keys may take to be given back when the process stops, in milliseconds.
	 */
	private static final long SETTLE_MILLIS = 2000;

	private final ObjectStore store;

	private final VerifiedWrites writes;

	private final DutyThread thread = new DutyThread("claims", RING_SIZE, TICK_MILLIS, () -> {
	});

	private volatile boolean started;

	/**
	 * Creates the duty without starting it.
	 * @param store the platform
	 */
	public ClaimDuty(ObjectStore store) {
		this.store = store;
		this.writes = new VerifiedWrites(store, Pause::millis);
	}

	/**
	 * Starts the duty.
	 */
	public void start() {
		this.started = true;
		this.thread.start();
	}

	/**
	 * Claims a key.
	 * @param organisation whose key it is
	 * @param key the key as the caller gave it
	 * @param bodyDigest the digest of the request
	 * @param decision gets the decision on the claims' thread
	 */
	public void claim(String organisation, String key, String bodyDigest, Decision decision) {
		String storeKey = PREFIX + organisation + "/" + DigestUtils.sha256Hex(key);
		if (!this.thread.offer(() -> decide(storeKey, bodyDigest, decision))) {
			decision.refused(unavailable("too many claims wait here"));
		}
	}

	private void decide(String storeKey, String bodyDigest, Decision decision) {
		JsonNode value = Json.MAPPER
			.valueToTree(new StoredClaim(bodyDigest, UUID.randomUUID().toString(), State.CLAIMED));
		WriteResult result = this.writes.write(storeKey, EraRevision.NONE, value);
		result.match(new WriteResult.Cases<Void>((revision) -> {
			decision.granted(new Claim(storeKey, revision, bodyDigest));
			return null;
		}, (revision) -> {
			decision.refused(duplicate(storeKey, bodyDigest));
			return null;
		}, (reason) -> {
			decision.refused(unavailable(reason));
			return null;
		}, (reason) -> {
			decision.refused(unavailable(reason));
			return null;
		}));
	}

	private Problem duplicate(String storeKey, String bodyDigest) {
		return this.store.get(storeKey).match((object) -> {
			boolean same = bodyDigest.equals(object.value().path("bodyDigest").asText());
			return same ? Problem.notRun(ProblemKind.KEY_CLAIMED, "this copy did not run: the key was claimed before")
					: Problem.notRun(ProblemKind.KEY_REUSED, "the key was used for another request");
		}, () -> unavailable("the claim has just been given back"), ClaimDuty::unavailable);
	}

	private static Problem unavailable(String reason) {
		return Problem.notRun(ProblemKind.CLAIM_UNAVAILABLE, "the key cannot be claimed: " + reason)
			.retryAfter(AWAY_RETRY_MILLIS);
	}

	/**
	 * Notes what became of the work, or gives the key back if it did not run.
	 * @param claim the claim
	 * @param disclosure what the caller was told
	 */
	public void settle(Claim claim, Disclosure disclosure) {
		this.thread.offer(() -> {
			if (disclosure == Disclosure.NOT_RUN) {
				this.writes.write(claim.storeKey(), claim.revision(), null);
				return;
			}
			State state = (disclosure == Disclosure.ANSWERED) ? State.ANSWERED : State.UNKNOWN;
			JsonNode value = Json.MAPPER
				.valueToTree(new StoredClaim(claim.bodyDigest(), UUID.randomUUID().toString(), state));
			this.writes.write(claim.storeKey(), claim.revision(), value);
		});
	}

	// A key that is not given back is refused to the caller that was told to come back
	// with it.
	@Override
	public void close() {
		CountDownLatch settled = new CountDownLatch(1);
		if (this.started && this.thread.offer(settled::countDown)) {
			awaitSettled(settled);
		}
		this.thread.close();
	}

	private static void awaitSettled(CountDownLatch settled) {
		try {
			if (!settled.await(SETTLE_MILLIS, TimeUnit.MILLISECONDS)) {
				EventLog.log(Event.PLATFORM_AWAY, "duty", "claims", "reason", "keys were not given back in time");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * What becomes of a claim.
	 */
	public interface Decision {

		/**
		 * The key is the request's own; it may run.
		 * @param claim to be settled when it has ended
		 */
		void granted(Claim claim);

		/**
		 * The request may not run.
		 * @param problem why
		 */
		void refused(Problem problem);

	}

	/**
	 * A claimed key.
	 *
	 * @param storeKey the platform's key
	 * @param revision the revision of the claim
	 * @param bodyDigest the digest of the request
	 */
	public record Claim(String storeKey, EraRevision revision, String bodyDigest) {

	}

	private record StoredClaim(String bodyDigest, String writeId, State state) {
	}

	private enum State {

		CLAIMED, ANSWERED, UNKNOWN

	}

}
