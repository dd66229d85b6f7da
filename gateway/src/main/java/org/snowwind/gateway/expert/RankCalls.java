package org.snowwind.gateway.expert;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.gateway.limit.ServerCalls;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.table.DocumentException;
import org.snowwind.http.client.JsonClient;
import org.snowwind.http.client.JsonClient.JsonAnswer;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Calls ranks in parallel and waits for all responses.
 */
final class RankCalls implements CountsPort {

	private static final int OK = 200;

	/** The timeout of a read, in milliseconds. Ranks answer within a few. */
	private static final long CALL_MILLIS = 250;

	/**
	 * The timeout of an order, in milliseconds. An unanswered order is repeated, because
	 * a group may be waiting for it. This is ten round trips to another data centre.
	 */
	private static final long ORDER_MILLIS = 80;

	private final JsonClient client;

	private final RankProtocol protocol;

	private final ServerCalls made;

	private final long orderMillis;

	/**
	 * Creates the calls.
	 * @param client the client
	 * @param protocol the protocol of ranks
	 * @param made counts the calls
	 * @param orderMillis the timeout of an order, in milliseconds
	 */
	RankCalls(JsonClient client, RankProtocol protocol, ServerCalls made, long orderMillis) {
		this.client = client;
		this.protocol = protocol;
		this.made = made;
		this.orderMillis = orderMillis;
	}

	/**
	 * Creates the calls with the default timeout of orders.
	 * @param client the client
	 * @param protocol the protocol of ranks
	 * @param made counts the calls
	 * @return the calls
	 */
	static RankCalls of(JsonClient client, RankProtocol protocol, ServerCalls made) {
		return new RankCalls(client, protocol, made, ORDER_MILLIS);
	}

	/**
	 * Returns the counter of calls, which also knows the limits and backoffs of ranks.
	 * @return the counter of calls
	 */
	ServerCalls made() {
		return this.made;
	}

	@Override
	public boolean isCallAllowed(Rank rank) {
		return this.made.allows(rank.serverId(), 1);
	}

	@Override
	public Rank firstUnrestricted(List<Rank> ranks) {
		return ranks.stream()
			.filter((rank) -> !this.made.isRestricted(rank.serverId()))
			.findFirst()
			.orElse(ranks.get(0));
	}

	/**
	 * Asks servers for their state.
	 * @param servers the servers
	 * @return those that answered and are ranks of a group
	 */
	List<Rank> reports(List<BackendEntry> servers) {
		List<CompletableFuture<JsonAnswer>> pending = new ArrayList<>();
		for (BackendEntry server : servers) {
			pending.add(get(server.incarnation(), server.address(), this.protocol.reportPath()));
		}
		List<Rank> ranks = new ArrayList<>();
		for (int i = 0; i < servers.size(); i++) {
			BackendEntry server = servers.get(i);
			read(pending.get(i), this.protocol::report, server.id()).filter((report) -> report.group() != null)
				.filter((report) -> sameLife(server.incarnation(), report.bornMillis()))
				.ifPresent((report) -> ranks.add(rankOf(server, report)));
		}
		return ranks;
	}

	private static Rank rankOf(BackendEntry server, RankReport report) {
		return new Rank(new BackendIncarnation(server.id(), report.bornMillis()), server.address(), report);
	}

	// A response of another incarnation of the server is ignored.
	private static boolean sameLife(BackendIncarnation run, long bornMillis) {
		boolean same = run.mayEqual(new BackendIncarnation(run.id(), bornMillis));
		if (!same) {
			EventLog.log(Event.RANK_SILENT, "server", run.id(), "reason",
					"born at " + bornMillis + ", expected " + run.bornMillis());
		}
		return same;
	}

	@Override
	public List<Optional<RankCounts>> counts(List<Rank> ranks) {
		List<Optional<RankCounts>> answers = askAll(ranks, this.protocol.countsPath(), this.protocol::counts);
		List<Optional<RankCounts>> ofThisLife = new ArrayList<>();
		for (int i = 0; i < ranks.size(); i++) {
			BackendIncarnation run = ranks.get(i).run();
			ofThisLife.add(answers.get(i).filter((counts) -> sameLife(run, counts.bornMillis())));
		}
		return ofThisLife;
	}

	/**
	 * Asks ranks which experts they hold.
	 * @param ranks the ranks
	 * @return the experts by set in the same order, empty where no answer came
	 */
	List<Optional<List<List<Integer>>>> holdings(List<Rank> ranks) {
		return askAll(ranks, this.protocol.holdingsPath(), this.protocol::holdings);
	}

	private <T> List<Optional<T>> askAll(List<Rank> ranks, String path, Reader<T> reader) {
		List<CompletableFuture<JsonAnswer>> pending = new ArrayList<>();
		for (Rank rank : ranks) {
			pending.add(get(rank.run(), rank.address(), path));
		}
		List<Optional<T>> answers = new ArrayList<>();
		for (int i = 0; i < ranks.size(); i++) {
			answers.add(read(pending.get(i), reader, ranks.get(i).serverId()));
		}
		return answers;
	}

	private CompletableFuture<JsonAnswer> get(BackendIncarnation run, String address, String path) {
		if (!this.made.acquire(run.id())) {
			return backsOff();
		}
		return start("GET", run, "http://" + address + path, null, CALL_MILLIS);
	}

	private CompletableFuture<JsonAnswer> start(String method, BackendIncarnation run, String url, byte[] body,
			long timeoutMillis) {
		long sentMillis = this.made.nowMillis();
		return this.client.start(method, url, this.protocol.headers(run.id()), body, timeoutMillis)
			.thenApply((answer) -> {
				this.made.onResponseHead(run, this.protocol.notice(answer.status(), answer.headers()), sentMillis);
				return answer;
			});
	}

	private static CompletableFuture<JsonAnswer> backsOff() {
		return CompletableFuture.failedFuture(new IOException("not sent, the server backs off"));
	}

	private static <T> Optional<T> read(CompletableFuture<JsonAnswer> pending, Reader<T> reader, String serverId) {
		try {
			JsonAnswer answer = pending.get();
			if (answer.status() != OK) {
				EventLog.log(Event.RANK_SILENT, "server", serverId, "reason", "status " + answer.status());
				return Optional.empty();
			}
			return Optional.of(reader.read(answer.body()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
		catch (ExecutionException | DocumentException ex) {
			EventLog.log(Event.RANK_SILENT, "server", serverId, "reason", ex.getMessage());
			return Optional.empty();
		}
	}

	/**
	 * Gives one order to each of several ranks.
	 * @param ranks the ranks
	 * @param order the order
	 * @param fence the fencing token
	 * @return the results in the same order
	 */
	List<OrderResult> order(List<Rank> ranks, MapOrder order, long fence) {
		List<CompletableFuture<JsonAnswer>> pending = new ArrayList<>();
		// A map is large and the same for all ranks, so it is encoded once.
		Map<Long, byte[]> bodies = new HashMap<>();
		for (Rank rank : ranks) {
			byte[] body = bodies.computeIfAbsent(rank.report().epoch(),
					(epoch) -> JsonClient.encode(this.protocol.body(order, epoch, fence)));
			boolean acquired = order.completesSwitch() ? this.made.acquireCompletion(rank.serverId())
					: this.made.acquire(rank.serverId());
			pending.add(acquired ? start("POST", rank.run(), "http://" + rank.address() + this.protocol.orderPath(),
					body, this.orderMillis) : backsOff());
		}
		List<OrderResult> results = new ArrayList<>();
		for (int i = 0; i < ranks.size(); i++) {
			OrderResult result = resultOf(pending.get(i), ranks.get(i).run());
			logOrder(ranks.get(i), order, fence, result);
			results.add(result);
		}
		return results;
	}

	private OrderResult resultOf(CompletableFuture<JsonAnswer> pending, BackendIncarnation run) {
		try {
			JsonAnswer answer = pending.get();
			boolean same = sameLife(run, this.protocol.bornMillis(answer.body()));
			return same ? this.protocol.result(answer.status()) : OrderResult.RESTARTED;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return OrderResult.UNKNOWN;
		}
		catch (ExecutionException | DocumentException ex) {
			return OrderResult.UNKNOWN;
		}
	}

	private static void logOrder(Rank rank, MapOrder order, long fence, OrderResult result) {
		String what = (order instanceof MapOrder.Prepare prepare) ? "Prepare[version=" + prepare.version() + "]"
				: order.toString();
		EventLog.log(Event.RANK_ORDERED, "server", rank.serverId(), "group", rank.report().group(), "rank",
				rank.report().rank(), "order", what, "epoch", rank.report().epoch(), "fence", fence, "result", result);
	}

	/**
	 * Reads a response.
	 *
	 * @param <T> the type of its content
	 */
	@FunctionalInterface
	private interface Reader<T> {

		T read(JsonNode document) throws DocumentException;

	}

}
