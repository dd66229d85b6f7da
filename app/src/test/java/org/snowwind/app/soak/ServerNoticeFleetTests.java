package org.snowwind.app.soak;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snowwind.platform.standin.BackoffRequest;
import org.snowwind.platform.standin.StoreFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Servers that reject requests with {@code Retry-After} or announce in their responses
 * that they are leaving.
 */
class ServerNoticeFleetTests {

	private static final int GATEWAYS = 7;

	private static final double BACKOFF_SECONDS = 3;

	private static final long PLAY_MILLIS = 8000;

	private static final int SERVED_PERCENT = 95;

	private static final long HOLD_MILLIS = 200;

	/** A gateway that has just started retries nothing for one window of its budget. */
	private static final long RETRY_WINDOW_MILLIS = 10_500;

	private FleetUnderLoad fleet;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.fleet = new FleetUnderLoad(folder, GATEWAYS);
		this.fleet.startLoad();
		playFor(RETRY_WINDOW_MILLIS);
	}

	@AfterEach
	void stop() throws Exception {
		this.fleet.close();
	}

	private long playFor(long millis) throws InterruptedException {
		long fromNanos = System.nanoTime();
		TimeUnit.MILLISECONDS.sleep(millis);
		return fromNanos;
	}

	private void reject(List<SoakWorld.SoakServer> servers, double seconds) {
		servers.forEach((server) -> server.server().reject(seconds));
	}

	private static long percentServed(List<Call> calls) {
		return 100 * calls.stream().filter(Call::served).count() / calls.size();
	}

	@Test
	void serverIsNotRetriedBeforeItsRetryAfterExpires() throws Exception {
		reject(this.fleet.servers().subList(0, 3), BACKOFF_SECONDS);
		long fromNanos = playFor(PLAY_MILLIS);
		assertThat(this.fleet.broken(new RetryAfterIsKept())).isEmpty();
		assertThat(percentServed(this.fleet.callsSince(fromNanos))).isGreaterThanOrEqualTo(SERVED_PERCENT);
	}

	@Test
	void requestsAreRejectedAtOnceWhileAllServersBackOff() throws Exception {
		reject(this.fleet.servers(), BACKOFF_SECONDS);
		playFor(1000);
		long fromNanos = playFor(1000);
		List<Call> rejected = this.fleet.callsSince(fromNanos);
		reject(this.fleet.servers(), BackoffRequest.NONE);
		playFor(2500);
		long backNanos = playFor(3000);
		assertThat(this.fleet.broken(new RetryAfterIsKept())).isEmpty();
		assertThat(rejected).allMatch((call) -> call.status() == 503)
			.allMatch((call) -> call.endedNanos() - call.sentNanos() < TimeUnit.MILLISECONDS.toNanos(HOLD_MILLIS));
		assertThat(percentServed(this.fleet.callsSince(backNanos))).isGreaterThanOrEqualTo(SERVED_PERCENT);
	}

	@Test
	void leavingServerGetsNoRequestsDuringRegistryOutage() throws Exception {
		this.fleet.world().store().fault(StoreFault.DOWN);
		this.fleet.servers().get(0).server().announceLeaving();
		long fromNanos = playFor(PLAY_MILLIS);
		assertThat(this.fleet.broken(new AnnouncedLeavingIsKept())).isEmpty();
		assertThat(percentServed(this.fleet.callsSince(fromNanos))).isGreaterThanOrEqualTo(SERVED_PERCENT);
	}

}
