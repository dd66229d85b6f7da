package org.snowwind.gateway.expert;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.snowwind.gateway.limit.ServerCalls;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.http.client.JsonClient;
import org.snowwind.model.MonotonicClock;
import org.snowwind.store.ObjectStore;

/**
 * Determines the group of each rank. Confined to one thread, which it blocks.
 *
 * <p>
 * An incarnation of a server stays in its group. The planner asks each server once and
 * writes the result to the store, where all other gateways read it, so that the number of
 * calls grows with servers and not with gateways times servers. Another gateway asks a
 * server itself only if its group is missing in the store for long.
 */
public final class GroupDirectory {

	/**
	 * How long a gateway waits for the planner before it asks a server itself, in
	 * milliseconds. Until then requests are sent to the server regardless of its group.
	 */
	private static final long PATIENCE_MILLIS = 2500;

	/**
	 * The interval between reads of the store while a group is missing, in milliseconds.
	 */
	private static final long READ_MILLIS = 1000;

	/**
	 * The time after which a gateway that does not plan asks the same server again, in
	 * milliseconds. A server that does not answer is dead or unreachable.
	 */
	private static final long ASK_AGAIN_MILLIS = 4000;

	private final RankCalls calls;

	private final GroupBook book;

	private final Sources sources;

	private final BiConsumer<BackendIncarnation, String> found;

	private final MonotonicClock clock;

	private final Map<BackendIncarnation, String> known = new ConcurrentHashMap<>();

	private final Map<BackendIncarnation, Long> askMillis = new HashMap<>();

	private long nextReadMillis = Long.MIN_VALUE;

	private boolean unwritten;

	/**
	 * Creates an empty directory.
	 * @param client the client for calls to ranks
	 * @param protocol the protocol of ranks
	 * @param made counts calls to ranks
	 * @param store the platform's store
	 * @param sources the state of this gateway
	 * @param found called with the incarnation of a server and the name of its group
	 * @param clock the clock
	 */
	public GroupDirectory(JsonClient client, RankProtocol protocol, ServerCalls made, ObjectStore store,
			Sources sources, BiConsumer<BackendIncarnation, String> found, MonotonicClock clock) {
		this.calls = RankCalls.of(client, protocol, made);
		this.book = new GroupBook(store);
		this.sources = sources;
		this.found = found;
		this.clock = clock;
	}

	/**
	 * Determines the groups of servers whose group is unknown.
	 */
	public void round() {
		List<BackendEntry> missing = this.sources.ungrouped().get();
		Set<BackendIncarnation> runs = missing.stream().map(BackendEntry::incarnation).collect(Collectors.toSet());
		this.askMillis.keySet().retainAll(runs);
		if (!missing.isEmpty()) {
			ask(due(unwrittenOf(missing)));
		}
		if (this.unwritten && this.sources.planning().getAsBoolean()) {
			this.known.keySet().retainAll(this.sources.registered().get());
			this.unwritten = !this.book.write(this.known);
		}
	}

	/**
	 * Returns the known groups.
	 * @return a live view of the names of groups by incarnation of the server
	 */
	public Map<BackendIncarnation, String> known() {
		return this.known;
	}

	private List<BackendEntry> unwrittenOf(List<BackendEntry> missing) {
		long nowMillis = this.clock.nowMillis();
		if (nowMillis < this.nextReadMillis) {
			return missing;
		}
		this.nextReadMillis = nowMillis + READ_MILLIS;
		Map<BackendIncarnation, String> written = this.book.read();
		List<BackendEntry> left = new ArrayList<>();
		for (BackendEntry server : missing) {
			String group = written.get(server.incarnation());
			if (group != null) {
				learn(server.incarnation(), group);
			}
			else {
				left.add(server);
			}
		}
		return left;
	}

	private List<BackendEntry> due(List<BackendEntry> missing) {
		long nowMillis = this.clock.nowMillis();
		if (this.sources.planning().getAsBoolean()) {
			return missing;
		}
		return missing.stream()
			.filter((server) -> nowMillis >= this.askMillis.computeIfAbsent(server.incarnation(),
					(run) -> nowMillis + PATIENCE_MILLIS))
			.toList();
	}

	private void ask(List<BackendEntry> due) {
		List<BackendEntry> servers = due.stream().filter((server) -> this.calls.made().allows(server.id(), 1)).toList();
		if (servers.isEmpty()) {
			return;
		}
		long againMillis = this.clock.nowMillis() + ASK_AGAIN_MILLIS;
		Map<String, BackendIncarnation> runs = new HashMap<>();
		servers.forEach((server) -> {
			this.askMillis.put(server.incarnation(), againMillis);
			runs.put(server.id(), server.incarnation());
		});
		this.calls.reports(servers).forEach((rank) -> {
			learn(runs.get(rank.serverId()), rank.report().group());
			this.unwritten = true;
		});
	}

	private void learn(BackendIncarnation run, String group) {
		this.known.put(run, group);
		this.found.accept(run, group);
	}

	/**
	 * The state of this gateway.
	 *
	 * @param ungrouped lists servers whose group is unknown
	 * @param registered lists the incarnations of all servers
	 * @param planning whether this gateway plans maps
	 */
	public record Sources(Supplier<List<BackendEntry>> ungrouped, Supplier<Set<BackendIncarnation>> registered,
			BooleanSupplier planning) {

	}

}
