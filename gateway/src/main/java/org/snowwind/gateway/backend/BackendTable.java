package org.snowwind.gateway.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.snowwind.decide.notice.RampUp;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.decide.silence.AttentiveTime;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.registry.Registry;
import org.snowwind.model.EraRevision;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * The registered backend servers and the choice among them. Confined to the event loop.
 */
public final class BackendTable {

	private static final ServerPick LEAST_UTILIZED = ServerPick.leastUtilized();

	private static final ServerPick WEIGHTED_RANDOM = ServerPick.weightedRandom();

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final String dataCentre;

	private final GroupLimit groupLimit;

	private final IntSupplier gateways;

	private final Map<String, Backend> byId = new LinkedHashMap<>();

	private final Map<String, GroupLoad> groups = new HashMap<>();

	private final ColdServers coldServers;

	private final RemovedNotices removedNotices;

	private final SharedLimits limits;

	private final EvacuatedServers evacuated = new EvacuatedServers();

	private final MemoryShortage memoryShortage = new MemoryShortage();

	private final AttentiveTime attentive;

	private EraRevision revision = EraRevision.NONE;

	private double unreportedFactor = 1;

	/**
	 * Creates a table without servers.
	 * @param clock the clock
	 * @param random breaks ties
	 * @param dataCentre the data centre of this gateway
	 * @param gateways supplies the number of gateways that may send requests to the
	 * servers
	 */
	public BackendTable(MonotonicClock clock, RandomGenerator random, String dataCentre, IntSupplier gateways) {
		this(clock, random, dataCentre, gateways, ColdServers.unprotected());
	}

	/**
	 * Creates a table without servers.
	 * @param clock the clock
	 * @param random breaks ties
	 * @param dataCentre the data centre of this gateway
	 * @param gateways supplies the number of gateways that may send requests to the
	 * servers
	 * @param coldServers what cold servers have in common
	 */
	public BackendTable(MonotonicClock clock, RandomGenerator random, String dataCentre, IntSupplier gateways,
			ColdServers coldServers) {
		this(clock, random, dataCentre, gateways, GroupLimit.meanPass(), coldServers);
	}

	BackendTable(MonotonicClock clock, RandomGenerator random, String dataCentre, IntSupplier gateways,
			GroupLimit groupLimit) {
		this(clock, random, dataCentre, gateways, groupLimit, ColdServers.unprotected());
	}

	BackendTable(MonotonicClock clock, RandomGenerator random, String dataCentre, IntSupplier gateways,
			GroupLimit groupLimit, ColdServers coldServers) {
		this.clock = clock;
		this.random = random;
		this.dataCentre = dataCentre;
		this.gateways = gateways;
		this.groupLimit = groupLimit;
		this.coldServers = coldServers;
		this.removedNotices = new RemovedNotices(coldServers);
		this.limits = new SharedLimits(() -> this.byId.values().stream(), this::find, clock);
		this.attentive = new AttentiveTime(clock.nowMillis(), AttentiveTime.LONGEST_STEP_MILLIS);
	}

	/**
	 * Returns the limits that servers set on their total request rate.
	 * @return the limits of all servers
	 */
	public SharedLimits limits() {
		return this.limits;
	}

	/**
	 * Returns how often servers were left out for their memory.
	 * @return the count
	 */
	public MemoryShortage memoryShortage() {
		return this.memoryShortage;
	}

	/**
	 * Returns the time in which the event loop was able to read what servers sent. The
	 * silence of servers and groups is measured in this time.
	 * @return the time, which the event loop ticks
	 */
	public AttentiveTime attentive() {
		return this.attentive;
	}

	/**
	 * Applies a new version of the registry.
	 * @param registry the registry
	 */
	public void update(Registry registry) {
		this.revision = registry.revision();
		List<String> removed = new ArrayList<>(this.byId.keySet());
		removed.removeAll(registry.servers().keySet());
		removed.forEach(this::remove);
		registry.list().forEach(this::addOrUpdate);
		updateGroupCounts();
	}

	/**
	 * Applies the evacuations in force.
	 * @param dataCentres the names of the data centres whose servers get no new requests
	 */
	public void evacuate(Set<String> dataCentres) {
		this.evacuated.update(dataCentres, this.byId.values(), this.clock.nowMillis());
		updateGroupCounts();
	}

	private void remove(String id) {
		Backend backend = this.byId.remove(id);
		backend.remove();
		this.removedNotices.keep(backend.entry().incarnation(), backend.notices());
		EventLog.log(Event.SERVER_REMOVED, "server", id, "registry", this.revision);
	}

	private void addOrUpdate(BackendEntry entry) {
		Backend existing = this.byId.get(entry.id());
		if (existing != null && !existing.entry().incarnation().mayEqual(entry.incarnation())) {
			EventLog.log(Event.SERVER_RESTARTED, "server", entry.id(), "bornMillis", entry.bornMillis(), "before",
					existing.entry().bornMillis(), "inFlight", existing.inFlight(), "registry", this.revision);
			this.byId.remove(entry.id()).remove();
			existing = null;
		}
		if (existing == null) {
			BackendNotices notices = this.removedNotices.take(entry.incarnation());
			notices.cold().onEntry(entry, this.clock.nowMillis());
			Backend added = new Backend(entry, notices);
			this.byId.put(entry.id(), added);
			this.evacuated.apply(added, this.clock.nowMillis());
			EventLog.log(Event.SERVER_ADDED, "server", entry.id(), "service", entry.service(), "address",
					entry.address(), "dataCentre", entry.dataCentre(), "draining", entry.draining(), "registry",
					this.revision);
			return;
		}
		if (entry.draining() && !existing.entry().draining()) {
			EventLog.log(Event.SERVER_DRAINING, "server", entry.id(), "source", "registry", "registry", this.revision);
		}
		existing.notices().cold().onEntry(entry, this.clock.nowMillis());
		existing.entry(entry);
		this.evacuated.apply(existing, this.clock.nowMillis());
	}

	/**
	 * Returns the revision of the registry.
	 * @return the platform's revision
	 */
	public EraRevision revision() {
		return this.revision;
	}

	/**
	 * Finds a server.
	 * @param id its id
	 * @return the server, empty if it is not registered
	 */
	public Optional<Backend> find(String id) {
		return Optional.ofNullable(this.byId.get(id));
	}

	/**
	 * Records the head of a response.
	 * @param backend the server that sent it
	 * @param notice what the head announces
	 * @param source the response
	 */
	public void onResponseHead(Backend backend, ServerNotice notice, BackendNotices.Source source) {
		boolean startsBackoff = notice.retryAfterMillis() > 0;
		backend.onResponseHead(notice, source,
				startsBackoff ? pace(backend, notice.retryAfterMillis()) : RampUp.UNRESTRICTED, this.clock.nowMillis());
	}

	private RampUp pace(Backend backend, long backoffMillis) {
		BackendView view = backend.view(this.clock.nowMillis());
		return RampUp.of(this.gateways.getAsInt(), view.answerMillis(), view.slots(), backoffMillis,
				this.random.nextDouble());
	}

	/**
	 * Records an announcement in the response to a call that is not a caller's request.
	 * @param run the incarnation that was called
	 * @param notice what it announces
	 * @param sentMillis when the call was sent, in milliseconds
	 */
	public void onNotice(BackendIncarnation run, ServerNotice notice, long sentMillis) {
		find(run.id()).filter((backend) -> backend.entry().incarnation().mayEqual(run))
			.ifPresent((backend) -> onResponseHead(backend, notice,
					new BackendNotices.Source("report or order", false, sentMillis)));
	}

	/**
	 * Lists the servers that back off.
	 * @return when each backoff ends, in milliseconds by the server's id
	 */
	public Map<String, Long> backoffs() {
		long nowMillis = this.clock.nowMillis();
		return this.byId.values()
			.stream()
			.filter((backend) -> backend.notices().backoff().isActive(nowMillis))
			.collect(Collectors.toUnmodifiableMap(Backend::id, (backend) -> backend.notices().backoff().untilMillis()));
	}

	/**
	 * Updates and counts the servers that are protected while they are cold. This must be
	 * called several times a second.
	 * @return a number of servers
	 */
	public int refreshCold() {
		long nowMillis = this.clock.nowMillis();
		this.coldServers.refresh(nowMillis);
		return (int) this.byId.values()
			.stream()
			.filter((backend) -> backend.notices().cold().refresh(nowMillis))
			.count();
	}

	/**
	 * Returns how often a cold server was left out of a choice.
	 * @return a number that only grows; any thread may call this
	 */
	public long coldWithheldCount() {
		return this.coldServers.withheldCount();
	}

	/**
	 * Lists the servers of a service.
	 * @param service the service's name
	 * @return its servers, including those that are leaving
	 */
	public List<Backend> serversOf(String service) {
		return this.byId.values().stream().filter((backend) -> backend.entry().service().equals(service)).toList();
	}

	/**
	 * Returns whether any server of the configured services is in service. An evacuation
	 * is no fault of this process, so evacuated servers count.
	 * @param services the configured services; a server of another service gets no
	 * requests
	 * @return true if at least one is
	 */
	public boolean anyInService(Set<String> services) {
		return this.byId.values()
			.stream()
			.anyMatch((backend) -> backend.isInService() && services.contains(backend.entry().service()));
	}

	/**
	 * Returns whether a service has a server that accepts new work now or, if it backs
	 * off, later.
	 * @param service the service's name
	 * @return true if it has at least one
	 */
	public boolean anyTakesNewWork(String service) {
		return this.byId.values().stream().anyMatch((backend) -> isEligible(backend, service, Set.of()));
	}

	/**
	 * Returns whether a service has an untried server that accepts requests now.
	 * @param service the service's name
	 * @param tried ids of the servers that were tried
	 * @return true if it has one that does not back off
	 */
	public boolean anyUntriedAvailable(String service, Set<String> tried) {
		long nowMillis = this.clock.nowMillis();
		return this.byId.values()
			.stream()
			.anyMatch(
					(backend) -> isEligible(backend, service, tried) && backend.notices().backoff().admits(nowMillis));
	}

	/**
	 * Returns the time during which this process could observe servers.
	 * @return the time since the start of this process, in milliseconds
	 */
	public long attentiveMillis() {
		return this.attentive.millis(this.clock.nowMillis());
	}

	/**
	 * Returns whether another server of the same service is heard of now, so that silence
	 * is not common to all of them.
	 * @param backend the server that is not counted
	 * @return true if another one has requests and is not silent, or was heard of shortly
	 * before
	 */
	public boolean hearsAnother(Backend backend) {
		long attentiveMillis = attentiveMillis();
		return serversOf(backend.entry().service()).stream()
			.anyMatch((other) -> other != backend && other.isHeard(attentiveMillis));
	}

	/**
	 * Chooses a server that has room. One whose streams do not all pause is preferred.
	 * @param requirements the requirements
	 * @return a server with room, empty if none has room
	 */
	public Optional<Backend> choose(ServerRequirements requirements) {
		Optional<Backend> trusted = pickNotStalled(requirements, candidates(requirements, true));
		return trusted.isPresent() ? trusted : pickNotStalled(requirements, candidates(requirements, false));
	}

	private Optional<Backend> pickNotStalled(ServerRequirements requirements, List<Candidate> candidates) {
		long attentiveMillis = attentiveMillis();
		List<Candidate> notStalled = without(candidates, (backend) -> backend.isStalled(attentiveMillis));
		return pick(requirements, notStalled.isEmpty() ? candidates : notStalled);
	}

	/**
	 * Chooses a trusted server that has room and is not silent.
	 * @param requirements the requirements
	 * @return the server, empty if there is none
	 */
	Optional<Backend> chooseHeard(ServerRequirements requirements) {
		long attentiveMillis = attentiveMillis();
		return pick(requirements,
				without(candidates(requirements, true), (backend) -> backend.isSilent(attentiveMillis)));
	}

	private Optional<Backend> pick(ServerRequirements requirements, List<Candidate> candidates) {
		return strategyFor(requirements).pick(candidates, this.random);
	}

	private static List<Candidate> without(List<Candidate> candidates, Predicate<Backend> excluded) {
		return candidates.stream().filter((candidate) -> !excluded.test(candidate.backend())).toList();
	}

	private List<Candidate> candidates(ServerRequirements requirements, boolean trustedOnly) {
		long nowMillis = this.clock.nowMillis();
		List<Candidate> candidates = new ArrayList<>();
		Map<GroupLoad, Double> groupRooms = new HashMap<>();
		for (Backend backend : this.byId.values()) {
			boolean allowed = isEligible(backend, requirements.service(), requirements.tried())
					&& (!trustedOnly || backend.isTrusted(nowMillis));
			if (allowed) {
				double groupRoom = groupRooms.computeIfAbsent(groupOf(backend, requirements),
						(group) -> group.freeShare(requirements, nowMillis));
				addIfRoom(candidates, backend, requirements, groupRoom, nowMillis);
			}
		}
		return candidates;
	}

	private static GroupLoad groupOf(Backend backend, ServerRequirements requirements) {
		return (backend.group() != null && requirements.engine() != null) ? backend.group() : GroupLoad.NONE;
	}

	private static ServerPick strategyFor(ServerRequirements requirements) {
		return (requirements.engine() != null) ? WEIGHTED_RANDOM : LEAST_UTILIZED;
	}

	private void addIfRoom(List<Candidate> candidates, Backend backend, ServerRequirements requirements,
			double groupRoom, long nowMillis) {
		BackendView view = backend.view(nowMillis);
		if (groupRoom > 0 && backend.admits(nowMillis) && view.room(requirements.maxQueuedAtServer()) > 0
				&& hasMemory(backend, requirements, nowMillis)) {
			candidates.add(new Candidate(backend, view.utilization(),
					groupRoom * view.freeShare(requirements.maxQueuedAtServer()),
					backend.entry().dataCentre().equals(this.dataCentre)));
		}
	}

	private boolean hasMemory(Backend backend, ServerRequirements requirements, long nowMillis) {
		boolean fits = requirements.memory().fits(backend.heldTokens(), backend.peersInFlight());
		if (!fits) {
			this.memoryShortage.record(backend, requirements.memory(), nowMillis);
		}
		return fits;
	}

	/**
	 * Returns whether all servers of a service are known to reject requests now.
	 * @param service the service's name
	 * @return the outage, {@link ServiceOutage#NONE} if a server may accept a request
	 */
	public ServiceOutage outage(String service) {
		List<Backend> inService = serversOf(service).stream().filter(Backend::isInService).toList();
		List<Backend> serving = inService.stream().filter(Backend::takesNewWork).toList();
		boolean allEvacuated = serving.isEmpty() && !inService.isEmpty();
		return allEvacuated ? ServiceOutage.WITHOUT_RETURN : ServiceOutage.of(serving, this.clock.nowMillis());
	}

	/**
	 * Lists the servers whose group is unknown.
	 * @param service the service's name
	 * @return their entries
	 */
	public List<BackendEntry> ungrouped(String service) {
		return serversOf(service).stream().filter((backend) -> backend.group() == null).map(Backend::entry).toList();
	}

	/**
	 * Records the group of a server.
	 * @param run the incarnation of the server
	 * @param group the group's name
	 */
	public void recordGroup(BackendIncarnation run, String group) {
		find(run.id()).filter((backend) -> backend.entry().incarnation().mayEqual(run)).ifPresent((backend) -> {
			backend.group(
					this.groups.computeIfAbsent(group, (name) -> new GroupLoad(name, this.groupLimit, this.attentive)),
					this.clock.nowMillis());
			updateGroupCounts();
		});
	}

	/**
	 * Returns when the passes of each group last became suddenly much longer.
	 * @return times in milliseconds by the group's name, {@link Long#MIN_VALUE} for never
	 */
	public Map<String, Long> lastPassJumps() {
		return this.groups.values()
			.stream()
			.collect(Collectors.toUnmodifiableMap(GroupLoad::name, GroupLoad::lastJumpMillis));
	}

	private void updateGroupCounts() {
		Map<GroupLoad, GroupLoad.Counts> counts = new HashMap<>();
		for (Backend backend : this.byId.values()) {
			if (backend.group() != null) {
				counts.merge(backend.group(), GroupLoad.Counts.of(backend), GroupLoad.Counts::plus);
			}
		}
		this.groups.values().removeIf((group) -> !counts.containsKey(group));
		counts.forEach((group, count) -> group.updateCounts(count, this.unreportedFactor));
	}

	private static boolean isEligible(Backend backend, String service, Set<String> tried) {
		return backend.takesNewWork() && backend.entry().service().equals(service) && !tried.contains(backend.id());
	}

	/**
	 * Updates the number of requests that peers have at each server.
	 * @param byServer the sum over all peers that have reported, by server id
	 * @param unreportedFactor the factor by which the requests of all processes may
	 * exceed the known ones, at least 1
	 */
	public void updatePeersInFlight(Map<String, Integer> byServer, double unreportedFactor) {
		this.unreportedFactor = unreportedFactor;
		this.byId.forEach((id, backend) -> backend.peersInFlight(byServer.getOrDefault(id, 0)));
		updateGroupCounts();
	}

	/**
	 * Returns the number of requests of this process at each server.
	 * @return numbers of requests by server id, without zeros
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
