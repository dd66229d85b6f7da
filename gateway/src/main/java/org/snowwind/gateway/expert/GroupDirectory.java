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
 * Finds out which group each rank is in. Confined to one thread, which it blocks.
 *
 * <p>
 * A life of a server stays in its group. Whoever plans maps asks each server once and
 * writes down what it learns; all others read that, so that questions grow with servers
 * and not with gateways times servers: 49 gateways before 192 ranks would ask 9,408 times
 * whenever all are started, where 192 do. A gateway asks by itself only what nobody has
 * written down for long.
 */
public final class GroupDirectory {

	/**
	 * How long others are relied on, in milliseconds: a planner is found and has asked
	 * within a second of the start of all gateways. Until then a rank takes requests
	 * without a look at its group.
	 */
	private static final long PATIENCE_MILLIS = 2500;

	/** How often what is written down is read while something is missing, in ms. */
	private static final long READ_MILLIS = 1000;

	/**
	 * How long a gateway that does not plan waits before it asks the same server again,
	 * in milliseconds: one that does not answer is dead or cut off.
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
	 * Creates a directory that has asked nobody.
	 * @param client carries calls to ranks
	 * @param protocol names what is said to ranks
	 * @param made counts calls to ranks
	 * @param store keeps what one gateway has learnt for the others
	 * @param sources tells of servers and of the own duty
	 * @param found is told the life of a server and the name of its group
	 * @param clock tells the time
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
	 * Finds the groups of servers whose group is not known.
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
	 * Returns the group of each server of which it is known.
	 * @return the names of groups by the life of the server, a view that changes
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
	 * What the directory asks this gateway.
	 *
	 * @param ungrouped lists servers whose group is not known
	 * @param registered lists the lives of all servers
	 * @param planning tells whether this gateway plans maps
	 */
	public record Sources(Supplier<List<BackendEntry>> ungrouped, Supplier<Set<BackendIncarnation>> registered,
			BooleanSupplier planning) {

	}

}
