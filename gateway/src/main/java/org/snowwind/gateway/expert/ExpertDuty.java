package org.snowwind.gateway.expert;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.balance.plan.IncrementalPlanner;
import org.snowwind.gateway.limit.ServerCalls;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.registry.Registry;
import org.snowwind.gateway.registry.RegistryHolder;
import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.gateway.table.ServiceEntry;
import org.snowwind.gateway.table.TableHolder;
import org.snowwind.http.client.JsonClient;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.model.duty.Pause;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.GetResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoredObject;
import org.snowwind.store.VerifiedWrites;
import org.snowwind.store.WriteResult;

/**
 * Plans the expert maps of all groups while this gateway has the duty.
 *
 * <p>
 * A single owner is not needed for safety: two owners cannot mix maps, but they revert
 * each other's maps. An owner claims the duty with a conditional write, whose revision is
 * its fencing token. Ranks reject orders with an older token.
 */
public final class ExpertDuty implements AutoCloseable, GroupBalancer.VersionSource {

	private static final String KEY = "duties/experts";

	private static final int SMALL_RING = 16;

	private static final long TICK_MILLIS = 100;

	/** The interval between rounds of a group, in milliseconds. */
	private static final long GROUP_TICK_MILLIS = 40;

	/**
	 * How long a gateway listens for an owner after its start before it claims the duty,
	 * in milliseconds. Of two owners the older one stops.
	 */
	private static final long LISTEN_MILLIS = 500;

	/** The time between claims, in milliseconds. */
	private static final long CLAIM_BACKOFF_MILLIS = 1000;

	/**
	 * How long a planner that leaves waits for a group's switch to end, in milliseconds.
	 */
	private static final long FINISH_MILLIS = 1000;

	/** The number of versions that each owner can assign. */
	private static final long VERSIONS_PER_TOKEN = 10_000;

	/** The half-life of the weight of choices. Demand shifts every few seconds. */
	private static final double DEMAND_HALF_LIFE_MILLIS = 1500;

	/**
	 * The maximum time of the copies of a plan, in milliseconds. Demand may have shifted
	 * when a map with longer copies is in force.
	 */
	private static final double COPIES_MILLIS = 300;

	/**
	 * The minimum number of copies of a rank that a plan may use, regardless of their
	 * time. Even a single copy reduces the skew considerably.
	 */
	private static final int LEAST_COPIES_PER_RANK = 1;

	/** The maximum number of copies of a rank. Further copies reduce the skew little. */
	private static final int MOST_COPIES_PER_RANK = 4;

	/** The minimum relief of the hottest rank by a copy, as a share of the mean load. */
	private static final double LEAST_RELIEF = 0.008;

	private final ObjectStore store;

	private final VerifiedWrites writes;

	private final RankCalls calls;

	private final TableHolder tables;

	private final RegistryHolder registries;

	private final Local local;

	private final MonotonicClock clock;

	private final DutyThread thread;

	private final AtomicLong fence = new AtomicLong();

	private final AtomicLong given = new AtomicLong();

	private final Map<String, Balanced> groups = new HashMap<>();

	private final Map<String, DemandBook> demands = new HashMap<>();

	private final Map<String, SharedPlans> plans = new HashMap<>();

	private long nextClaimMillis;

	private long claims;

	/**
	 * Creates the duty.
	 * @param store the platform's store
	 * @param client the client for calls to ranks
	 * @param protocol the protocol of ranks
	 * @param made counts calls to ranks
	 * @param tables the route table in force
	 * @param registries the registered servers
	 * @param local the state of this gateway
	 * @param clock the clock
	 */
	public ExpertDuty(ObjectStore store, JsonClient client, RankProtocol protocol, ServerCalls made, TableHolder tables,
			RegistryHolder registries, Local local, MonotonicClock clock) {
		this.store = store;
		this.writes = new VerifiedWrites(store, Pause::millis);
		this.calls = RankCalls.of(client, protocol, made);
		this.tables = tables;
		this.registries = registries;
		this.local = local;
		this.clock = clock;
		this.thread = new DutyThread("experts", SMALL_RING, TICK_MILLIS, this::round);
	}

	/**
	 * Starts to claim the duty whenever this gateway should have it.
	 */
	public void start() {
		this.nextClaimMillis = this.clock.nowMillis() + LISTEN_MILLIS;
		this.thread.start();
	}

	/**
	 * Returns the fencing token.
	 * @return the token, 0 while this gateway does not have the duty
	 */
	public long fence() {
		return this.fence.get();
	}

	/**
	 * Returns the claim of this gateway to the duty.
	 * @return the current claim
	 */
	public PlannerClaim claim() {
		return new PlannerClaim(this.fence.get());
	}

	private void round() {
		long nowMillis = this.clock.nowMillis();
		if (!this.local.candidate().getAsBoolean()) {
			leave("another gateway has it, or this one stops");
			return;
		}
		if (this.fence.get() == 0) {
			if (nowMillis >= this.nextClaimMillis && hasGroups()) {
				takeDuty();
			}
			return;
		}
		discover();
	}

	private boolean hasGroups() {
		return this.tables.current().services().values().stream().anyMatch(ExpertDuty::sharesExperts);
	}

	private static boolean sharesExperts(ServiceEntry service) {
		return service.engine() != null && service.engine().hasExperts();
	}

	// The token is kept until no pass is held, because a group with a held pass stalls
	// until the next planner releases it.
	private void leave(String reason) {
		long token = this.fence.get();
		if (token == 0) {
			return;
		}
		this.groups.values().forEach((group) -> group.balancer().leave());
		this.groups.values().forEach((group) -> group.thread().finish(FINISH_MILLIS));
		this.groups.clear();
		if (this.fence.compareAndSet(token, 0)) {
			EventLog.log(Event.EXPERT_DUTY_LEFT, "reason", reason);
		}
	}

	private void closeGroups() {
		this.groups.values().forEach((group) -> group.thread().close());
		this.groups.clear();
	}

	private void takeDuty() {
		this.nextClaimMillis = this.clock.nowMillis() + CLAIM_BACKOFF_MILLIS;
		GetResult standing = this.store.get(KEY);
		EraRevision revision = standing.match(StoredObject::revision, () -> EraRevision.NONE, (reason) -> null);
		if (revision == null) {
			EventLog.log(Event.EXPERT_DUTY_NOT_CLAIMED, "reason", "the platform does not answer");
			return;
		}
		JsonNode value = Json.MAPPER.createObjectNode()
			.put("gateway", this.local.name())
			.put("claim", System.nanoTime() + "-" + this.claims++);
		WriteResult result = this.writes.write(KEY, revision, value);
		if (result instanceof WriteResult.Written written) {
			this.given.set(0);
			this.fence.set(written.revision().toLong());
			EventLog.log(Event.EXPERT_DUTY_TAKEN, "fence", written.revision().toLong(), "claimRevision",
					written.revision(), "before", revision);
			return;
		}
		EventLog.log(Event.EXPERT_DUTY_NOT_CLAIMED, "reason", result);
	}

	private void discover() {
		Registry registry = this.registries.current();
		for (ServiceEntry service : this.tables.current().services().values()) {
			if (sharesExperts(service)) {
				discover(service, registry);
			}
		}
	}

	private void discover(ServiceEntry service, Registry registry) {
		Map<String, List<BackendEntry>> members = new HashMap<>();
		for (BackendEntry server : registry.list()) {
			String group = this.local.groups().get(server.incarnation());
			if (group != null && server.service().equals(service.name())) {
				members.computeIfAbsent(group, (name) -> new ArrayList<>()).add(server);
			}
		}
		members.forEach((group, ranks) -> balanced(service, group).members(ranks));
	}

	private GroupBalancer balanced(ServiceEntry service, String group) {
		Balanced standing = this.groups.get(group);
		if (standing != null) {
			return standing.balancer();
		}
		EngineProfile profile = service.engine();
		DemandBook demand = this.demands.computeIfAbsent(service.name(),
				(key) -> new DemandBook(profile.expertSets(), profile.experts(), DEMAND_HALF_LIFE_MILLIS));
		SharedPlans planner = this.plans
			.computeIfAbsent(service.name(), (key) -> new SharedPlans(new IncrementalPlanner(
					new IncrementalPlanner.Caps(profile.newExpertsPerMap(), copiesPerRank(profile), LEAST_RELIEF))));
		DemandReader reader = new DemandReader(group, profile, this.calls, demand,
				() -> this.local.passJumpedMillis().applyAsLong(group), this.clock);
		GroupBalancer balancer = new GroupBalancer(group, profile, this.calls, demand, reader, this::fence, this,
				planner, this.clock);
		DutyThread groupThread = new DutyThread("experts-" + group, SMALL_RING, GROUP_TICK_MILLIS, balancer::round);
		this.groups.put(group, new Balanced(balancer, groupThread));
		groupThread.start();
		return balancer;
	}

	private static int copiesPerRank(EngineProfile profile) {
		int inTime = (int) (COPIES_MILLIS / profile.copyMillis());
		return Math.max(LEAST_COPIES_PER_RANK, Math.min(MOST_COPIES_PER_RANK, inTime));
	}

	@Override
	public long next(long token) {
		long number = this.given.incrementAndGet();
		if (number == VERSIONS_PER_TOKEN - 1) {
			// The next claim has a new token and thus new versions.
			fenced(token);
		}
		return token * VERSIONS_PER_TOKEN + Math.min(number, VERSIONS_PER_TOKEN - 1);
	}

	@Override
	public void fenced(long token) {
		if (this.fence.compareAndSet(token, 0)) {
			EventLog.log(Event.EXPERT_DUTY_LEFT, "reason", "the token is no longer of use", "fence", token);
			this.thread.offer(() -> {
				closeGroups();
				this.nextClaimMillis = this.clock.nowMillis() + CLAIM_BACKOFF_MILLIS + LISTEN_MILLIS;
			});
		}
	}

	@Override
	public boolean newer(long token, long version) {
		return version / VERSIONS_PER_TOKEN > token;
	}

	@Override
	public void close() {
		this.fence.set(0);
		closeGroups();
		this.thread.close();
	}

	/**
	 * The state of this gateway.
	 *
	 * @param name its name
	 * @param candidate whether it should have the duty
	 * @param passJumpedMillis when the pass time of a group last jumped, in milliseconds,
	 * by the group's name
	 * @param groups the known groups of servers
	 */
	public record Local(String name, BooleanSupplier candidate, ToLongFunction<String> passJumpedMillis,
			Map<BackendIncarnation, String> groups) {

	}

	/**
	 * A group's balancer and its thread.
	 *
	 * @param balancer the group's balancer
	 * @param thread its thread
	 */
	private record Balanced(GroupBalancer balancer, DutyThread thread) {

	}

}
