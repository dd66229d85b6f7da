package org.snowwind.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

import org.snowwind.balance.handover.OrderMessage;
import org.snowwind.balance.handover.RankState;
import org.snowwind.balance.handover.RankSwitch;
import org.snowwind.http.DataLoop;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.Responses;
import org.snowwind.model.Json;

/**
 * Ranks that run in lock-step on an expert map and take orders to switch it.
 *
 * <p>
 * A step is run by all ranks or by none: it waits while one of them stalls. The group
 * counts the steps that ranks ran on different maps, of which there must be none, and the
 * steps that waited.
 */
public final class StandInRankGroup extends HttpStandIn {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int MAX_BODY_BYTES = 4096;

	private static final String RANKS = "/v1/ranks/";

	private final List<RankSwitch> ranks = new ArrayList<>();

	private final long stepMillis;

	private final Random random;

	private volatile RankFaults faults = RankFaults.NONE;

	private final AtomicLong steps = new AtomicLong();

	private final AtomicLong mixedSteps = new AtomicLong();

	private final AtomicLong waitedSteps = new AtomicLong();

	private volatile boolean running = true;

	/**
	 * Creates a group that steps as soon as it listens.
	 * @param loop the thread that carries it
	 * @param count how many ranks it has
	 * @param generation the map that they run
	 * @param stepMillis how long a step takes, in milliseconds
	 * @param seed draws which messages are lost
	 */
	public StandInRankGroup(DataLoop loop, int count, long generation, long stepMillis, long seed) {
		super(loop);
		this.stepMillis = stepMillis;
		this.random = new Random(seed);
		for (int rank = 0; rank < count; rank++) {
			this.ranks.add(new RankSwitch(rank, generation));
		}
		loop.later(this::step, stepMillis);
	}

	/**
	 * Switches faults.
	 * @param next what is wrong from now on
	 */
	public void faults(RankFaults next) {
		this.faults = next;
	}

	/**
	 * Counts the steps that were run.
	 * @return a number of steps
	 */
	public long steps() {
		return this.steps.get();
	}

	/**
	 * Counts the steps that ranks ran on different maps.
	 * @return a number of steps
	 */
	public long mixedSteps() {
		return this.mixedSteps.get();
	}

	/**
	 * Counts the times at which a step waited for a rank.
	 * @return a number of steps' times
	 */
	public long waitedSteps() {
		return this.waitedSteps.get();
	}

	/**
	 * Stops stepping.
	 */
	public void halt() {
		this.running = false;
	}

	private void step() {
		if (!this.running) {
			return;
		}
		boolean stalled = this.ranks.stream().anyMatch((rank) -> rank.generationOfNextStep() == RankSwitch.STALL);
		if (stalled) {
			this.waitedSteps.incrementAndGet();
		}
		else {
			long maps = this.ranks.stream().map(RankSwitch::runStep).distinct().count();
			this.mixedSteps.addAndGet((maps > 1) ? 1 : 0);
			this.steps.incrementAndGet();
		}
		loop().later(this::step, this.stepMillis);
	}

	@Override
	void handle(HttpExchange exchange) {
		if (!exchange.path().startsWith(RANKS)) {
			exchange.respond(NOT_FOUND, Map.of(), new byte[0]);
			return;
		}
		int rank = Integer.parseInt(exchange.path().substring(RANKS.length()));
		exchange.readBody(MAX_BODY_BYTES, (body) -> arrive(exchange, rank, body));
	}

	private void arrive(HttpExchange exchange, int rank, byte[] body) {
		RankFaults now = this.faults;
		if (this.random.nextDouble() < now.lostShare()) {
			exchange.abort();
			return;
		}
		long delayMillis = (rank == now.slowRank()) ? now.slowMillis() : 0;
		loop().later(() -> obey(exchange, rank, body), delayMillis);
	}

	private void obey(HttpExchange exchange, int rank, byte[] body) {
		try {
			OrderMessage message = Json.MAPPER.readValue(body, OrderMessage.class);
			RankState state = this.ranks.get(rank).handle(message.toOrder());
			boolean answerLost = this.random.nextDouble() < this.faults.lostShare();
			if (answerLost) {
				exchange.abort();
				return;
			}
			Responses.json(exchange, OK, state);
		}
		catch (IOException ex) {
			exchange.abort();
		}
	}

	/**
	 * What is wrong with the way to the ranks.
	 *
	 * @param lostShare the share of orders, and of answers, that are lost
	 * @param slowRank the rank whose orders are late, -1 for none
	 * @param slowMillis how late, in milliseconds
	 */
	public record RankFaults(double lostShare, int slowRank, long slowMillis) {

		/** Nothing is wrong. */
		public static final RankFaults NONE = new RankFaults(0, -1, 0);

	}

}
