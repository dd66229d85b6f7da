package org.snowwind.gateway.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.snowwind.config.settings.Addresses;
import org.snowwind.decide.choice.RendezvousHashing;
import org.snowwind.gateway.backend.SharedLimits.Grant;
import org.snowwind.gateway.backend.SharedLimits.Wish;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.wire.Reply;
import org.snowwind.wire.ThriftCalls;
import org.snowwind.wire.ThriftLink;
import org.snowwind.wire.generated.GatewayControl;
import org.snowwind.wire.generated.LimitGrant;
import org.snowwind.wire.generated.LimitRequest;

/**
 * Ensures that all gateways together send a limited server no more requests than its
 * limit allows.
 *
 * <p>
 * For each limited server one gateway is the coordinator. Gateways that know the same
 * live gateways choose the same one by rendezvous hashing. The coordinator divides the
 * server's rate among the gateways that can use it. Each gateway requests its shares
 * periodically and sends nothing to a limited server without a share.
 */
public final class LimitDuty implements AutoCloseable {

	/** The minimum time between two requests to one gateway, in milliseconds. */
	private static final long MIN_PERIOD_MILLIS = 100;

	/**
	 * The increase of the period for each peer, in milliseconds. It limits the requests
	 * that one gateway receives to 200 per second.
	 */
	private static final long PERIOD_PER_PEER_MILLIS = 5;

	/**
	 * The increase of the period for each limited server, in milliseconds. It limits the
	 * shares that are requested from one gateway to 500 per second.
	 */
	private static final long PERIOD_PER_SERVER_MILLIS = 2;

	/** The number of consecutive requests with a lost response that a lease outlasts. */
	private static final int LEASE_PERIODS = 4;

	/**
	 * The extra length of a lease, so that it also outlasts a pause of the process that
	 * requested it, in milliseconds.
	 */
	private static final long LEASE_SLACK_MILLIS = 500;

	/**
	 * The maximum length of a lease, however many servers a gateway requests shares of,
	 * in milliseconds.
	 */
	private static final long MAX_LEASE_MILLIS = 30_000;

	private static final long CALL_TIMEOUT_MILLIS = 800;

	private static final long TICK_MILLIS = 50;

	private static final int RING_SIZE = 16;

	private final String name;

	private final LocalGateway local;

	private final ThriftCalls calls;

	private final MonotonicClock clock;

	private final RateAllocators ledgers = new RateAllocators();

	private final Map<String, ThriftLink<GatewayControl.AsyncClient>> links = new HashMap<>();

	private final DutyThread thread;

	private long nextRoundMillis = Long.MIN_VALUE;

	private volatile Coordinators coordinators = new Coordinators(Set.of(), "");

	/**
	 * Creates a duty that does not request shares until it is started.
	 * @param name the name of this gateway
	 * @param local the state of this gateway and the receiver of its shares
	 * @param calls creates links to other gateways
	 * @param clock the clock
	 */
	public LimitDuty(String name, LocalGateway local, ThriftCalls calls, MonotonicClock clock) {
		this.name = name;
		this.local = local;
		this.calls = calls;
		this.clock = clock;
		this.thread = new DutyThread("limits", RING_SIZE, TICK_MILLIS, this::runRound);
	}

	/**
	 * Starts to request shares of the rates of limited servers.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Grants shares to another gateway.
	 * @param request the request of that gateway
	 * @return its shares, in the order of the request
	 */
	public List<LimitGrant> handleRequest(LimitRequest request) {
		List<Wish> wishes = request.getWishes().stream().map(LimitMessages::toWish).toList();
		long leaseMillis = Math.max(LEASE_SLACK_MILLIS, Math.min(MAX_LEASE_MILLIS, request.getLeaseMillis()));
		return grant(request.getGateway(), wishes, leaseMillis).stream().map(LimitMessages::toMessage).toList();
	}

	private List<Grant> grant(String process, List<Wish> wishes, long leaseMillis) {
		Coordinators current = currentCoordinators();
		return this.ledgers.grant(process, wishes, (server) -> current.coordinatorOf(server).equals(this.name),
				leaseMillis, this.clock.nowMillis());
	}

	private Coordinators currentCoordinators() {
		Set<String> peers = this.local.peers().get().keySet();
		String ownName = this.local.leaving().getAsBoolean() ? "" : this.name;
		Coordinators current = this.coordinators;
		if (!current.matches(peers, ownName)) {
			current = new Coordinators(peers, ownName);
			this.coordinators = current;
		}
		return current;
	}

	private long periodMillis(int servers) {
		return MIN_PERIOD_MILLIS + PERIOD_PER_PEER_MILLIS * this.local.peers().get().size()
				+ PERIOD_PER_SERVER_MILLIS * servers;
	}

	private void runRound() {
		long nowMillis = this.clock.nowMillis();
		List<Wish> wishes = this.local.wishes().get();
		if (nowMillis < this.nextRoundMillis || wishes.isEmpty()) {
			return;
		}
		long periodMillis = periodMillis(wishes.size());
		this.nextRoundMillis = nowMillis + periodMillis;
		long leaseMillis = LEASE_PERIODS * periodMillis + LEASE_SLACK_MILLIS;
		Coordinators current = currentCoordinators();
		Map<String, List<Wish>> byCoordinator = new HashMap<>();
		wishes.forEach((wish) -> byCoordinator
			.computeIfAbsent(current.coordinatorOf(wish.run().id()), (coordinator) -> new ArrayList<>())
			.add(wish));
		byCoordinator.forEach((coordinator, assigned) -> requestGrants(coordinator, assigned, leaseMillis));
		this.ledgers.removeUnused(nowMillis);
		closeUnusedLinks();
	}

	private void requestGrants(String coordinator, List<Wish> wishes, long leaseMillis) {
		long askedMillis = this.clock.nowMillis();
		if (coordinator.equals(this.name)) {
			this.local.grants().onGrants(grant(this.name, wishes, leaseMillis), askedMillis);
			return;
		}
		Optional<ThriftLink<GatewayControl.AsyncClient>> link = linkTo(coordinator);
		LimitRequest request = new LimitRequest(this.name, wishes.stream().map(LimitMessages::toMessage).toList(),
				leaseMillis);
		link.ifPresent((target) -> target
			.<List<LimitGrant>>call((client, callback) -> client.requestGrants(request, callback), new Reply<>() {
				@Override
				public void received(List<LimitGrant> grants) {
					LimitDuty.this.local.grants()
						.onGrants(grants.stream().map(LimitMessages::toGrant).toList(), askedMillis);
				}

				@Override
				public void failed(Exception cause) {
					// The leases held by this gateway expire; the next round retries.
				}
			}));
	}

	private Optional<ThriftLink<GatewayControl.AsyncClient>> linkTo(String coordinator) {
		return Optional.ofNullable(this.local.peers().get().get(coordinator))
			.flatMap(Addresses::parse)
			.map((address) -> this.links.computeIfAbsent(coordinator,
					(key) -> this.calls.link(address, GatewayControl.AsyncClient::new, CALL_TIMEOUT_MILLIS)));
	}

	// A gateway that comes back under the same name may have another address.
	private void closeUnusedLinks() {
		Set<String> live = this.local.peers().get().keySet();
		this.links.entrySet().removeIf((link) -> {
			boolean gone = !live.contains(link.getKey());
			if (gone) {
				link.getValue().close();
			}
			return gone;
		});
	}

	@Override
	public void close() {
		this.thread.close();
		this.links.values().forEach(ThriftLink::close);
	}

	/**
	 * The state of this gateway and the receiver of its shares.
	 *
	 * @param peers the control addresses of the other live gateways, by name
	 * @param leaving whether this gateway is stopping
	 * @param wishes the demand of this gateway for the rates of limited servers
	 * @param grants receives the shares that are granted to this gateway
	 */
	public record LocalGateway(Supplier<Map<String, String>> peers, BooleanSupplier leaving,
			Supplier<List<Wish>> wishes, GrantListener grants) {

	}

	/**
	 * Receives granted shares of rates.
	 */
	@FunctionalInterface
	public interface GrantListener {

		/**
		 * Applies granted shares of rates.
		 * @param grants the shares
		 * @param askedMillis when they were requested, in milliseconds
		 */
		void onGrants(List<Grant> grants, long askedMillis);

	}

	/**
	 * The coordinator of each server for one set of live gateways.
	 */
	private static final class Coordinators {

		private final Set<String> peers;

		private final String ownName;

		private final List<String> candidates;

		private final Map<String, String> coordinatorByServer = new HashMap<>();

		private Coordinators(Set<String> peers, String ownName) {
			this.peers = peers;
			this.ownName = ownName;
			this.candidates = new ArrayList<>(peers);
			if (!ownName.isEmpty()) {
				this.candidates.add(ownName);
			}
		}

		private boolean matches(Set<String> otherPeers, String otherOwnName) {
			return this.ownName.equals(otherOwnName) && this.peers.equals(otherPeers);
		}

		// Returns the empty name if no gateway is left.
		private synchronized String coordinatorOf(String server) {
			return this.coordinatorByServer.computeIfAbsent(server,
					(id) -> RendezvousHashing.highestRanked(this.candidates, (gateway) -> gateway, id, 1)
						.stream()
						.findFirst()
						.orElse(""));
		}

	}

}
