package org.snowwind.app.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.snowwind.app.harness.Link;
import org.snowwind.http.DataLoop;
import org.snowwind.model.Json;
import org.snowwind.platform.standin.BackendBehaviour;
import org.snowwind.platform.standin.BackendStandIn;
import org.snowwind.platform.standin.BackoffRequest;
import org.snowwind.platform.standin.Configurations;
import org.snowwind.platform.standin.Configurations.OrganisationSpec;
import org.snowwind.platform.standin.Departure;
import org.snowwind.platform.standin.LimitChange;
import org.snowwind.platform.standin.Run;
import org.snowwind.platform.standin.ServerArrival;
import org.snowwind.platform.standin.StoreStandIn;

/**
 * Gateways as processes before a store and servers in memory.
 */
final class SoakWorld implements AutoCloseable {

	static final String HOST = "soak.example";

	static final String ORGANISATION = "atlas-forme";

	static final String KEY = "a-key-that-stays";

	/** The service that answers with streams. */
	static final String STREAMING = "model";

	/** The data centres of the servers. */
	static final List<String> DATA_CENTRES = List.of("dc-0", "dc-1", "dc-2");

	private static final String EVACUATIONS = "evacuations";

	private static final Map<String, Integer> SERVERS = Map.of("desk", 3, "desk-new", 2, STREAMING, 3);

	private final DataLoop loop = new DataLoop("soak-platform");

	private final LoopWatch loopWatch = new LoopWatch(this.loop);

	private final StoreStandIn store;

	private final List<SoakGateway> gateways = new ArrayList<>();

	private final List<SoakServer> servers = new CopyOnWriteArrayList<>();

	private final List<FaultyServer> faulty = new CopyOnWriteArrayList<>();

	private final Queue<Run> pastRuns = new ConcurrentLinkedQueue<>();

	private final Queue<ServerArrival> pastArrivals = new ConcurrentLinkedQueue<>();

	private final Queue<LimitChange> pastLimits = new ConcurrentLinkedQueue<>();

	private final Queue<BackoffRequest> pastBackoffs = new ConcurrentLinkedQueue<>();

	private final Queue<Departure> pastDepartures = new ConcurrentLinkedQueue<>();

	private final Map<String, Long> drains = new ConcurrentHashMap<>();

	private final List<WrittenConfiguration> configurations = new CopyOnWriteArrayList<>();

	private final Map<String, Long> evacuatedSince = new ConcurrentHashMap<>();

	private final Queue<WrittenEvacuation> pastEvacuations = new ConcurrentLinkedQueue<>();

	/**
	 * When each part that crashes servers stopped doing so; in the future if it has not.
	 */
	private final Map<String, Long> crashingPartUntil = new ConcurrentHashMap<>();

	private final Queue<Disturbance> disturbances = new ConcurrentLinkedQueue<>();

	private final Map<CallKind, Set<String>> services = new EnumMap<>(CallKind.class);

	/** Is told which server runs a request that it does not survive. */
	private volatile Consumer<SoakServer> fatalRun = (server) -> {
	};

	private long version = 3;

	private String movingTo = "desk";

	/** Whether organisations with names that are easily confused are configured, too. */
	private boolean manyOrganisations;

	/** Whether no organisation has a key. */
	private boolean keysWithdrawn;

	private int serverRuns;

	SoakWorld(Path folder, int gatewayCount, Random random) throws IOException {
		this(folder, gatewayCount, 1, random);
	}

	/**
	 * Starts a world.
	 * @param folder takes settings and logs
	 * @param gatewayCount the number of gateways
	 * @param size the number of servers, as a multiple of the usual one
	 * @param random decides what the store does
	 * @throws IOException if something cannot be started
	 */
	SoakWorld(Path folder, int gatewayCount, int size, Random random) throws IOException {
		this(folder, Collections.nCopies(gatewayCount, List.of("places")), size, random);
	}

	/**
	 * Starts a world.
	 * @param folder takes settings and logs
	 * @param features the features of each gateway
	 * @param random decides what the store does
	 * @throws IOException if something cannot be started
	 */
	SoakWorld(Path folder, List<List<String>> features, Random random) throws IOException {
		this(folder, features, 1, random);
	}

	private SoakWorld(Path folder, List<List<String>> features, int size, Random random) throws IOException {
		this.store = new StoreStandIn(this.loop, random);
		InetSocketAddress storeAddress = this.store.start();
		this.services.put(CallKind.ONCE, Set.of("desk"));
		this.services.put(CallKind.AGAIN, Set.of("desk"));
		this.services.put(CallKind.FATAL, Set.of("desk"));
		this.services.put(CallKind.STREAM, Set.of(STREAMING));
		this.services.put(CallKind.LONG, Set.of(STREAMING));
		this.services.put(CallKind.MOVING, new HashSet<>());
		configure();
		for (Map.Entry<String, Integer> service : SERVERS.entrySet()) {
			for (int i = 0; i < size * service.getValue(); i++) {
				addServer(service.getKey());
			}
		}
		for (int i = 0; i < features.size(); i++) {
			this.gateways.add(new SoakGateway("g" + i, folder, storeAddress, features.get(i)));
		}
		for (SoakGateway gateway : this.gateways) {
			gateway.writeSettings(seeds());
			gateway.start();
		}
	}

	List<String> seeds() {
		return this.gateways.stream().limit(3).map(SoakGateway::peers).toList();
	}

	LoopWatch loopWatch() {
		return this.loopWatch;
	}

	StoreStandIn store() {
		return this.store;
	}

	List<SoakGateway> gateways() {
		return this.gateways;
	}

	List<SoakServer> servers() {
		return this.servers;
	}

	String movingTo() {
		return this.movingTo;
	}

	/**
	 * Returns the configurations that were written.
	 * @return all of them, the newest last
	 */
	List<WrittenConfiguration> configurations() {
		return this.configurations;
	}

	String passingKey() {
		return this.configurations.get(this.configurations.size() - 1).key();
	}

	/**
	 * Writes a new configuration, which moves a route and takes one key for another.
	 */
	synchronized void reconfigure() {
		this.version += 2 + this.version % 3;
		this.movingTo = this.movingTo.equals("desk") ? "desk-new" : "desk";
		configure();
	}

	/**
	 * Writes a new configuration in which no organisation has a key, or one in which all
	 * have theirs again.
	 * @param withdrawn whether the keys are taken away
	 */
	synchronized void withdrawKeys(boolean withdrawn) {
		this.keysWithdrawn = withdrawn;
		reconfigure();
	}

	/**
	 * Writes a new configuration with the organisations of {@link SoakOrganisations}.
	 */
	synchronized void addOrganisations() {
		this.manyOrganisations = true;
		reconfigure();
	}

	private void configure() {
		String passingKey = "a-key-that-passes-" + this.version;
		synchronized (this.services) {
			this.services.get(CallKind.MOVING).add(this.movingTo);
		}
		List<Configurations.RouteSpec> routes = List.of(route(CallKind.ONCE, "desk", "non_idempotent", 1),
				route(CallKind.AGAIN, "desk", "idempotent", 3), route(CallKind.STREAM, STREAMING, "stream", 3),
				route(CallKind.LONG, STREAMING, "stream", 3), route(CallKind.MOVING, this.movingTo, "idempotent", 2),
				route(CallKind.FATAL, "desk", "idempotent", 2));
		List<OrganisationSpec> organisations = organisations(passingKey);
		long writtenNanos = System.nanoTime();
		this.store.put("config", "main",
				Configurations.of(this.version, routes, List.copyOf(SERVERS.keySet()), organisations));
		this.configurations.add(new WrittenConfiguration(this.version, passingKey, validKeys(organisations),
				this.movingTo, writtenNanos));
	}

	private List<OrganisationSpec> organisations(String passingKey) {
		List<OrganisationSpec> organisations = new ArrayList<>();
		organisations.add(new OrganisationSpec(ORGANISATION, List.of(KEY, passingKey)));
		if (this.manyOrganisations) {
			organisations.addAll(SoakOrganisations.all());
		}
		if (this.keysWithdrawn) {
			organisations.replaceAll((organisation) -> new OrganisationSpec(organisation.name(), List.of()));
		}
		return organisations;
	}

	private static Set<String> validKeys(List<OrganisationSpec> organisations) {
		return organisations.stream()
			.flatMap((organisation) -> organisation.keys().stream())
			.filter((key) -> SoakOrganisations.nameOf(key) != null)
			.collect(Collectors.toUnmodifiableSet());
	}

	private static Configurations.RouteSpec route(CallKind kind, String service, String repeat, int attempts) {
		return new Configurations.RouteSpec(HOST, kind.prefix(), service, repeat, kind.timeoutMillis(), attempts);
	}

	synchronized SoakServer addServer(String service) throws IOException {
		String dataCentre = DATA_CENTRES.get(this.serverRuns % DATA_CENTRES.size());
		String id = service + "-run-" + this.serverRuns++;
		BackendStandIn server = new BackendStandIn(this.loop, this.store, service, id, dataCentre);
		SoakServer reached = new SoakServer(server, new Link(server.start()));
		server.fatal((run) -> endsServer(run, reached));
		server.register(reached.link().address());
		this.servers.add(reached);
		return reached;
	}

	private boolean endsServer(Run run, SoakServer server) {
		boolean fatal = run.target().startsWith(CallKind.FATAL.prefix()) || run.sharedParts()
			.stream()
			.anyMatch((part) -> this.crashingPartUntil.getOrDefault(part, 0L) == Long.MAX_VALUE);
		if (fatal) {
			this.fatalRun.accept(server);
		}
		return fatal;
	}

	/**
	 * Makes a part of prompts crash each server that begins to answer it.
	 * @param part its id
	 */
	void crashOn(String part) {
		this.crashingPartUntil.put(part, Long.MAX_VALUE);
	}

	/**
	 * Makes a part of prompts harmless again.
	 * @param part its id
	 */
	void stopCrashingOn(String part) {
		this.crashingPartUntil.put(part, System.nanoTime());
	}

	/**
	 * Sets what happens when a server runs a request that it does not survive.
	 * @param next is told of the server, on the servers' loop
	 */
	void onFatalRun(Consumer<SoakServer> next) {
		this.fatalRun = next;
	}

	/**
	 * Adds a server in trouble.
	 * @param service its service
	 * @param answer how it answers
	 * @return the server
	 * @throws IOException if no port is free
	 */
	synchronized FaultyServer addFaulty(String service, FaultyAnswer answer) throws IOException {
		FaultyServer server = new FaultyServer(this.store, service, service + "-faulty-" + this.serverRuns++, answer);
		this.faulty.add(server);
		return server;
	}

	/**
	 * Ends a server, whose entry stays.
	 * @param server the server
	 * @throws IOException if its link cannot be closed
	 */
	void end(SoakServer server) throws IOException {
		// A server that was to leave may have ended before; its runs count once.
		if (this.servers.remove(server)) {
			server.link().close();
			server.server().close();
			this.pastRuns.addAll(server.server().runs());
			this.pastArrivals.addAll(server.server().arrivals());
			this.pastLimits.addAll(server.server().limits());
			this.pastBackoffs.addAll(server.server().backoffs());
			this.pastDepartures.addAll(server.server().departures());
		}
	}

	boolean drainsAlready(SoakServer server) {
		return this.drains.containsKey(server.server().id());
	}

	void drains(SoakServer server) {
		server.server().drain();
		this.drains.put(server.server().id(), System.nanoTime());
	}

	/**
	 * Requests the evacuation of a data centre.
	 * @param dataCentre the data centre
	 */
	void evacuate(String dataCentre) {
		this.store.put(EVACUATIONS, dataCentre, Json.MAPPER.createObjectNode());
		this.evacuatedSince.putIfAbsent(dataCentre, System.nanoTime());
	}

	/**
	 * Ends the evacuation of a data centre.
	 * @param dataCentre the data centre
	 */
	void endEvacuation(String dataCentre) {
		Long sinceNanos = this.evacuatedSince.remove(dataCentre);
		this.pastEvacuations.add(new WrittenEvacuation(dataCentre, sinceNanos, System.nanoTime()));
		this.store.remove(EVACUATIONS, dataCentre);
	}

	boolean isEvacuated(String dataCentre) {
		return this.evacuatedSince.containsKey(dataCentre);
	}

	private List<WrittenEvacuation> evacuations() {
		List<WrittenEvacuation> all = new ArrayList<>(this.pastEvacuations);
		this.evacuatedSince
			.forEach((dataCentre, nanos) -> all.add(new WrittenEvacuation(dataCentre, nanos, System.nanoTime())));
		return all;
	}

	void disturbed(Disturbance disturbance) {
		this.disturbances.add(disturbance);
	}

	SoakHistory history(List<Call> calls) {
		List<Run> runs = new ArrayList<>(this.pastRuns);
		List<ServerArrival> arrivals = new ArrayList<>(this.pastArrivals);
		List<LimitChange> limits = new ArrayList<>(this.pastLimits);
		List<BackoffRequest> backoffs = new ArrayList<>(this.pastBackoffs);
		List<Departure> departures = new ArrayList<>(this.pastDepartures);
		this.faulty.forEach((server) -> runs.addAll(server.runs()));
		this.servers.forEach((server) -> {
			runs.addAll(server.server().runs());
			arrivals.addAll(server.server().arrivals());
			limits.addAll(server.server().limits());
			backoffs.addAll(server.server().backoffs());
			departures.addAll(server.server().departures());
		});
		return new SoakHistory(calls, runs, List.copyOf(this.disturbances), Map.copyOf(this.drains),
				Map.copyOf(this.services), arrivals, limits, backoffs, departures, List.copyOf(this.configurations),
				evacuations(), Map.copyOf(this.crashingPartUntil));
	}

	@Override
	public void close() throws IOException {
		for (SoakGateway gateway : this.gateways) {
			gateway.close();
		}
		for (SoakServer server : this.servers) {
			server.link().close();
			server.server().close();
		}
		for (FaultyServer server : this.faulty) {
			server.close();
		}
		this.store.close();
		this.loop.close();
	}

	/**
	 * A server and the link over which all gateways reach it.
	 *
	 * @param server the server
	 * @param link the link
	 */
	record SoakServer(BackendStandIn server, Link link) {

		void behave(BackendBehaviour behaviour) {
			this.server.behave(behaviour);
			this.link.answersTwice(behaviour == BackendBehaviour.ANSWERING_TWICE);
		}

	}

}
