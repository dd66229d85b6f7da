package org.snowwind.entry.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.snowwind.model.EraRevision;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.Problem;
import org.snowwind.store.GetResult;
import org.snowwind.store.ListResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.WatchResult;
import org.snowwind.store.WriteResult;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ClaimDuty} when its process stops.
 *
 * <p>
 * The story behind them: a caller was told at a stop that its work did not run, and to
 * come back with the same key. The key was to be given back on the claims' thread, but
 * the process ended that thread first: the caller's next try was told that its key had
 * been claimed, and the work never ran. The evidence: the platform kept the claim.
 */
class ClaimDutyTests {

	private final SlowStore store = new SlowStore();

	private final ClaimDuty claims = new ClaimDuty(this.store);

	private CompletableFuture<ClaimDuty.Claim> claim(String key) {
		CompletableFuture<ClaimDuty.Claim> granted = new CompletableFuture<>();
		this.claims.claim("atlas", key, "digest", new ClaimDuty.Decision() {
			@Override
			public void granted(ClaimDuty.Claim claim) {
				granted.complete(claim);
			}

			@Override
			public void refused(Problem problem) {
				granted.cancel(false);
			}
		});
		return granted;
	}

	@Test
	void aKeyOfWorkThatDidNotRunIsGivenBackBeforeTheProcessEnds() throws Exception {
		this.claims.start();
		ClaimDuty.Claim first = claim("first").get(10, TimeUnit.SECONDS);
		this.store.busy = new CountDownLatch(1);
		claim("second");
		this.claims.settle(first, Disclosure.NOT_RUN);
		CompletableFuture<Void> closed = CompletableFuture.runAsync(this.claims::close);
		this.store.busy.countDown();
		closed.get(10, TimeUnit.SECONDS);
		assertThat(this.store.deleted).containsExactly(first.storeKey());
	}

	/**
	 * A platform that does each call after a latch opens, whoever interrupts the caller.
	 */
	private static final class SlowStore implements ObjectStore {

		private final List<String> deleted = new CopyOnWriteArrayList<>();

		private volatile CountDownLatch busy = new CountDownLatch(0);

		private void awaitTurn() {
			boolean interrupted = false;
			while (this.busy.getCount() > 0) {
				try {
					this.busy.await();
				}
				catch (InterruptedException ex) {
					interrupted = true;
				}
			}
			if (interrupted) {
				Thread.currentThread().interrupt();
			}
		}

		@Override
		public ListResult list(String prefix) {
			return new ListResult.Listed(EraRevision.ofLong(1), new ArrayList<>());
		}

		@Override
		public WatchResult watch(String prefix, EraRevision afterRevision, long waitMillis) {
			return new WatchResult.Away("script");
		}

		@Override
		public GetResult get(String key) {
			return new GetResult.Away("script");
		}

		@Override
		public WriteResult put(String key, EraRevision expectedRevision, JsonNode value) {
			awaitTurn();
			return new WriteResult.Written(EraRevision.ofLong(1));
		}

		@Override
		public WriteResult delete(String key, EraRevision expectedRevision) {
			awaitTurn();
			this.deleted.add(key);
			return new WriteResult.Written(EraRevision.ofLong(2));
		}

	}

}
