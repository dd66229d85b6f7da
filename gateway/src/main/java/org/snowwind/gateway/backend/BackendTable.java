package org.snowwind.gateway.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.snowwind.decide.notice.ReturnPace;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendRun;
import org.snowwind.gateway.registry.Registry;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * The backend servers and the choice among them. Confined to the loop.
 */
public final class BackendTable {

	private static final ServerPick LEAST_FULL = ServerPick.leastFull();

	private static final ServerPick DRAWN_BY_ROOM = ServerPick.drawnByRoom();

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final String dataCentre;

	private final GroupLimit groupLimit;

	private final IntSupplier gateways;

	private final Map<String, Backend> byId = new LinkedHashMap<>();

	private final Map<String, GroupLoad> groups = new HashMap<>();

	private final RemovedNotices removedNotices = new RemovedNotices();

	private final SharedLimits limits;

	private long revision;

	private double unheardFactor = 1;

	/**
	 * Creates a table without servers.
	 * @param clock tells the time
	 * @param random breaks ties
	 * @param dataCentre the own data centre
	 * @param gateways counts the gateways that may send requests to the servers
	 */
	public BackendTable(MonotonicClock clock, RandomGenerator random, String dataCentre, IntSupplier gateways) {
		this(clock, random, dataCentre, gateways, GroupLimit.meanPass());
	}

	BackendTable(MonotonicClock clock, RandomGenerator random, String dataCentre, IntSupplier gateways,
			GroupLimit groupLimit) {
		this.clock = clock;
		this.random = random;
		this.dataCentre = dataCentre;
		this.gateways = gateways;
		this.groupLimit = groupLimit;
		this.limits = new SharedLimits(() -> this.byId.values().stream(), this::find, clock);
	}

	/**
	 * Returns the rates that servers take from all processes together.
	 * @return the limits of all servers
	 */
	public SharedLimits limits() {
		return this.limits;
	}

	/**
	 * Takes over a registry.
	 * @param registry the registry
	 */
	public void use(Registry registry) {
		this.revision = registry.revision();
		List<String> removed = new ArrayList<>(this.byId.keySet());
		removed.removeAll(registry.servers().keySet());
		removed.forEach(this::remove);
		registry.list().forEach(this::put);
		countGroups();
	}

	private void remove(String id) {
		Backend backend = this.byId.remove(id);
		backend.remove();
		this.removedNotices.keep(backend.entry().run(), backend.notices());
		EventLog.log(Event.SERVER_REMOVED, "server", id, "registry", this.revision);
	}

	private void put(BackendEntry entry) {
		Backend standing = this.byId.get(entry.id());
		if (standing != null && !standing.entry().run().mayBe(entry.run())) {
			EventLog.log(Event.SERVER_RESTARTED, "server", entry.id(), "bornMillis", entry.bornMillis(), "before",
					standing.entry().bornMillis(), "inFlight", standing.inFlight(), "registry", this.revision);
			this.byId.remove(entry.id()).remove();
			standing = null;
		}
		if (standing == null) {
			this.byId.put(entry.id(), new Backend(entry, this.removedNotices.take(entry.run())));
			EventLog.log(Event.SERVER_ADDED, "server", entry.id(), "service", entry.service(), "address",
					entry.address(), "dataCentre", entry.dataCentre(), "draining", entry.draining(), "registry",
					this.revision);
			return;
		}
		if (entry.draining() && !standing.entry().draining()) {
			EventLog.log(Event.SERVER_DRAINING, "server", entry.id(), "source", "registry", "registry", this.revision);
		}
		standing.entry(entry);
	}

	/**
	 * Returns the revision of the registry.
	 * @return the platform's revision
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Finds a server.
	 * @param id its id
	 * @return the server, empty if it is gone
	 */
	public Optional<Backend> find(String id) {
		return Optional.ofNullable(this.byId.get(id));
	}

	/**
	 * Records the head of a response.
	 * @param backend the server that sent it
	 * @param notice what it says
	 * @param source the response
	 */
	public void onResponseHead(Backend backend, ServerNotice notice, BackendNotices.Source source) {
		boolean startsBackoff = notice.retryAfterMillis() > 0;
		backend.onResponseHead(notice, source,
				startsBackoff ? pace(backend, notice.retryAfterMillis()) : ReturnPace.AT_ONCE, this.clock.nowMillis());
	}

	private ReturnPace pace(Backend backend, long backoffMillis) {
		BackendView view = backend.view(this.clock.nowMillis());
		return ReturnPace.of(this.gateways.getAsInt(), view.answerMillis(), view.slots(), backoffMillis,
				this.random.nextDouble());
	}

	/**
	 * Records what the response to a call beside callers' requests announces.
	 * @param run the incarnation that was called
	 * @param notice what it announces
	 * @param sentMillis when the call was sent, in milliseconds
	 */
	public void onNotice(BackendRun run, ServerNotice notice, long sentMillis) {
		find(run.id()).filter((backend) -> backend.entry().run().mayBe(run))
			.ifPresent((backend) -> onResponseHead(backend, notice,
					new BackendNotices.Source("report or order", false, sentMillis)));
	}

	/**
	 * Lists the servers that back off.
	 * @return until when, in milliseconds by the server's id
	 */
	public Map<String, Long> backoffs() {
		long nowMillis = this.clock.nowMillis();
		return this.byId.values()
			.stream()
			.filter((backend) -> backend.notices().backoff().isActive(nowMillis))
			.collect(Collectors.toUnmodifiableMap(Backend::id, (backend) -> backend.notices().backoff().untilMillis()));
	}

	/**
	 * Lists the servers of a service.
	 * @param service the service's name
	 * @return its servers, those that are leaving included
	 */
	public List<Backend> of(String service) {
		return this.byId.values().stream().filter((backend) -> backend.entry().service().equals(service)).toList();
	}

	/**
	 * Tells whether any server may be sent new work.
	 * @param services the services that there are; a server of another one serves nobody
	 * @return true if one may
	 */
	public boolean anyTakesNewWork(Set<String> services) {
		return this.byId.values()
			.stream()
			.anyMatch((backend) -> backend.takesNewWork() && services.contains(backend.entry().service()));
	}

	/**
	 * Tells whether a service has a server that takes new work, now or later.
	 * @param service the service's name
	 * @return true if it has
	 */
	public boolean anyTakesNewWork(String service) {
		return this.byId.values().stream().anyMatch((backend) -> eligible(backend, service, Set.of()));
	}

	/**
	 * Tells whether a service has another server to try now.
	 * @param service the service's name
	 * @param tried ids of servers that are not wanted
	 * @return true if it has one that does not back off
	 */
	public boolean anyLeft(String service, Set<String> tried) {
		long nowMillis = this.clock.nowMillis();
		return this.byId.values()
			.stream()
			.anyMatch((backend) -> eligible(backend, service, tried) && backend.notices().backoff().admits(nowMillis));
	}

	/**
	 * Chooses a server that has room.
	 * @param wanted what is needed
	 * @return one that has room, empty if none has
	 */
	public Optional<Backend> choose(Wanted wanted) {
		long nowMillis = this.clock.nowMillis();
		Optional<Backend> trusted = choose(wanted, nowMillis, true);
		return trusted.isPresent() ? trusted : choose(wanted, nowMillis, false);
	}

	private Optional<Backend> choose(Wanted wanted, long nowMillis, boolean trustedOnly) {
		List<Candidate> candidates = new ArrayList<>();
		Map<GroupLoad, Double> groupRooms = new HashMap<>();
		for (Backend backend : this.byId.values()) {
			boolean allowed = eligible(backend, wanted.service(), wanted.tried())
					&& (!trustedOnly || backend.trusted(nowMillis));
			if (allowed) {
				double groupRoom = groupRooms.computeIfAbsent(groupOf(backend, wanted),
						(group) -> group.roomShare(wanted, nowMillis));
				addIfRoom(candidates, backend, wanted, groupRoom, nowMillis);
			}
		}
		return pickOf(wanted).pick(candidates, this.random);
	}

	private static GroupLoad groupOf(Backend backend, Wanted wanted) {
		return (backend.group() != null && wanted.engine() != null) ? backend.group() : GroupLoad.NONE;
	}

	private static ServerPick pickOf(Wanted wanted) {
		return (wanted.engine() != null) ? DRAWN_BY_ROOM : LEAST_FULL;
	}

	private void addIfRoom(List<Candidate> candidates, Backend backend, Wanted wanted, double groupRoom,
			long nowMillis) {
		BackendView view = backend.view(nowMillis);
		if (groupRoom > 0 && backend.admits(nowMillis) && view.room(wanted.mayWait()) > 0) {
			candidates.add(new Candidate(backend, view.fullness(), groupRoom * view.roomShare(wanted.mayWait()),
					backend.entry().dataCentre().equals(this.dataCentre)));
		}
	}

	/**
	 * Tells whether all servers of a service are known to reject requests now.
	 * @param service the service's name
	 * @return the outage, {@link ServiceOutage#NONE} if a server may take one
	 */
	public ServiceOutage outage(String service) {
		List<Backend> serving = of(service).stream().filter(Backend::takesNewWork).toList();
		return ServiceOutage.of(serving, this.clock.nowMillis());
	}

	/**
	 * Lists servers of which it is not known which group they are in.
	 * @param service the service's name
	 * @return their entries
	 */
	public List<BackendEntry> ungrouped(String service) {
		return of(service).stream().filter((backend) -> backend.group() == null).map(Backend::entry).toList();
	}

	/**
	 * Takes note of the group of a server.
	 * @param run which life of the server it is
	 * @param group the group's name
	 */
	public void grouped(BackendRun run, String group) {
		find(run.id()).filter((backend) -> backend.entry().run().mayBe(run)).ifPresent((backend) -> {
			backend.group(this.groups.computeIfAbsent(group, (name) -> new GroupLoad(name, this.groupLimit)),
					this.clock.nowMillis());
			countGroups();
		});
	}

	/**
	 * Tells when the passes of each group have last become much longer at once.
	 * @return times in milliseconds by the group's name, {@link Long#MIN_VALUE} for never
	 */
	public Map<String, Long> passJumps() {
		return this.groups.values()
			.stream()
			.collect(Collectors.toUnmodifiableMap(GroupLoad::name, GroupLoad::jumpedMillis));
	}

	private void countGroups() {
		Map<GroupLoad, Integer> ranks = new HashMap<>();
		Map<GroupLoad, Integer> loads = new HashMap<>();
		for (Backend backend : this.byId.values()) {
			if (backend.group() != null) {
				ranks.merge(backend.group(), 1, Integer::sum);
				loads.merge(backend.group(), backend.load(), Integer::sum);
			}
		}
		this.groups.values().removeIf((group) -> !ranks.containsKey(group));
		ranks.forEach((group, count) -> group.count(count, (int) Math.round(this.unheardFactor * loads.get(group))));
	}

	private static boolean eligible(Backend backend, String service, Set<String> tried) {
		return backend.takesNewWork() && backend.entry().service().equals(service) && !tried.contains(backend.id());
	}

	/**
	 * Takes over how many requests peers have at each server.
	 * @param byServer the sum over all peers that have reported, by server id
	 * @param unheardFactor by how much more all processes may have than is known, 1 or
	 * more
	 */
	public void peersInFlight(Map<String, Integer> byServer, double unheardFactor) {
		this.unheardFactor = unheardFactor;
		this.byId.forEach((id, backend) -> backend.peersInFlight(byServer.getOrDefault(id, 0)));
		countGroups();
	}

	/**
	 * Returns how many requests this process has at each server.
	 * @return numbers of requests by server id, zeros left out
	 */
	public Map<String, Integer> inFlight() {
		Map<String, Integer> counts = new HashMap<>();
		this.byId.forEach((id, backend) -> {
			if (backend.inFlight() > 0) {
				counts.put(id, backend.inFlight());
			}
		});
		return counts;
	}

}
