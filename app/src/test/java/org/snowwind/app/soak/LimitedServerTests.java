package org.snowwind.app.soak;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snowwind.platform.standin.LimitChange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A server that names the rate that it takes from all gateways together gets no more.
 *
 * <p>
 * Two of sixteen servers of a pool had named a limit of one request a second. Each went
 * on to get two a second, as all others did, and 12 in four seconds where 11 are allowed,
 * 7 s and 12 s after it had named its limit. Callers saw nothing; the servers were in
 * need.
 *
 * <p>
 * Cause: no gateway read the limit, and a bound on what all send together cannot be kept
 * by each alone. Evidence: on the code without a mend the two servers below get 12 in
 * four seconds again and again; of the 12 in the incident at most nine and seven were
 * callers' requests, the others questions to ranks.
 */
class LimitedServerTests {

	private static final int GATEWAYS = 7;

	private static final long PLAY_MILLIS = 14_000;

	/** Within this time all gateways know of a limit and hold their parts of it. */
	private static final long SETTLE_MILLIS = 5000;

	/** The stated aim: so much of the rates is used while callers wait. */
	private static final int USED_PERCENT = 90;

	private FleetUnderLoad fleet;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.fleet = new FleetUnderLoad(folder, GATEWAYS);
	}

	@AfterEach
	void stop() throws Exception {
		this.fleet.close();
	}

	private List<SoakWorld.SoakServer> servers() {
		return this.fleet.servers();
	}

	private void play() throws InterruptedException {
		this.fleet.startLoad();
		TimeUnit.MILLISECONDS.sleep(PLAY_MILLIS);
	}

	private void assertKept() {
		assertThat(this.fleet.broken(new LimitsAreKept())).isEmpty();
	}

	@Test
	void whatLimitedServersTakeIsUsedUpWhileCallersWait() throws Exception {
		servers().forEach((server) -> server.server().limit(2));
		this.fleet.startLoad();
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		long fromNanos = System.nanoTime();
		TimeUnit.MILLISECONDS.sleep(PLAY_MILLIS);
		assertThat(this.fleet.callsSince(fromNanos).stream().filter(Call::served).count())
			.isGreaterThanOrEqualTo(USED_PERCENT * 2L * servers().size() * PLAY_MILLIS / 100_000);
		assertKept();
	}

	@Test
	void aServerThatTakesNothingGetsRequestsAgainOnceItsLimitHasEnded() throws Exception {
		SoakWorld.SoakServer server = servers().get(0);
		server.server().limit(0);
		play();
		server.server().limit(LimitChange.NONE);
		long endedNanos = System.nanoTime();
		TimeUnit.MILLISECONDS.sleep(PLAY_MILLIS);
		long after = server.server()
			.arrivals()
			.stream()
			.filter((arrival) -> arrival.atNanos() > endedNanos + TimeUnit.MILLISECONDS.toNanos(PLAY_MILLIS / 2))
			.count();
		assertThat(after).as("requests in the second half").isGreaterThan(10);
		assertKept();
	}

	@Test
	void aLimitIsKeptWhileGatewaysAreKilledAndStartAgain() throws Exception {
		servers().subList(0, 2).forEach((server) -> server.server().limit(1));
		this.fleet.startLoad();
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		for (int i = 0; i < 4; i++) {
			SoakGateway gateway = this.fleet.world().gateways().get(i);
			this.fleet.world()
				.disturbed(new Disturbance("kill", gateway.name(), System.nanoTime(),
						System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PLAY_MILLIS / 4)));
			gateway.process().kill();
			TimeUnit.MILLISECONDS.sleep(PLAY_MILLIS / 8);
			gateway.process().close();
			gateway.start();
			TimeUnit.MILLISECONDS.sleep(PLAY_MILLIS / 4);
		}
		assertKept();
	}

	@Test
	void twoOfEightServersThatNameOneASecondGetNoMore() throws Exception {
		servers().subList(0, 2).forEach((server) -> server.server().limit(1));
		play();
		assertKept();
	}

}
