package org.snowwind.entry.member;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.snowwind.config.settings.Addresses;
import org.snowwind.config.settings.EntrySettings;
import org.snowwind.config.snapshot.AgentDocument;
import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.entry.config.ConfigHolder;
import org.snowwind.http.DataLoop;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.wire.Reply;
import org.snowwind.wire.ThriftCalls;
import org.snowwind.wire.ThriftLink;
import org.snowwind.wire.generated.AgentControl;
import org.snowwind.wire.generated.AgentReport;
import org.snowwind.wire.generated.ConfigDocument;
import org.snowwind.wire.generated.ConfigPush;
import org.snowwind.wire.generated.DataCentreProgress;
import org.snowwind.wire.generated.EntryControl;
import org.snowwind.wire.generated.EntryHeartbeat;
import org.snowwind.wire.generated.PeerReport;

/**
 * The duty of knowing who lives: heartbeats to agents, exchanges with other entries, and
 * the passing on of configuration to both.
 */
public final class Membership implements AutoCloseable {

	private static final int RING_SIZE = 4096;

	private static final int SUSPECT_HEARTBEATS = 3;

	private static final long FORGET_MILLIS = 60_000;

	private static final int NAMED_ENTRIES = 8;

	/** Entries are named in one of so many reports. */
	private static final int NAMING_TURNS = 8;

	private final EntrySettings settings;

	private final String controlAddress;

	private final DataLoop loop;

	private final ServerTable servers;

	private final AttemptSequence sequence;

	private final ConfigHolder config;

	private final ThriftCalls calls;

	private final PeerTable peers;

	private final DutyThread thread;

	private final Random random;

	private final Map<String, AgentLinks> agentLinks = new HashMap<>();

	private final Map<String, PeerLinks> peerLinks = new HashMap<>();

	private volatile MembershipView view = MembershipView.ALONE;

	/** What peers are told: others' progress only by those who hear it first-hand. */
	private volatile List<DataCentreProgress> toldProgress = List.of();

	private volatile List<String> namedEntries = List.of();

	private volatile boolean draining;

	private volatile long platformAgeMillis = -1;

	/**
	 * Creates the duty without starting it.
	 * @param settings the entry's settings
	 * @param controlAddress where this entry's control port really listens
	 * @param loop owns the server table
	 * @param servers takes the reports of agents
	 * @param sequence knows the floor of outstanding attempts
	 * @param config holds the configuration in force
	 * @param calls carries the calls
	 * @param clock tells the time
	 * @param random the source of randomness
	 */
	public Membership(EntrySettings settings, InetSocketAddress controlAddress, DataLoop loop, ServerTable servers,
			AttemptSequence sequence, ConfigHolder config, ThriftCalls calls, MonotonicClock clock, Random random) {
		this.settings = settings;
		this.controlAddress = Addresses.render(controlAddress);
		this.loop = loop;
		this.servers = servers;
		this.sequence = sequence;
		this.config = config;
		this.calls = calls;
		this.random = random;
		long suspectAfterMillis = settings.heartbeatMillis() * SUSPECT_HEARTBEATS;
		this.peers = new PeerTable(settings.name(), settings.dataCentre(), clock, suspectAfterMillis, FORGET_MILLIS);
		settings.seeds().forEach((seed) -> this.peers.seed(Addresses.render(seed)));
		this.thread = new DutyThread("membership", RING_SIZE, settings.heartbeatMillis(), this::tick);
	}

	/**
	 * Starts the duty.
	 */
	public void start() {
		this.thread.start();
		this.config.onChange((snapshot) -> this.thread.offer(this::tellAll));
	}

	/**
	 * Returns what is known of the other entries.
	 * @return the state as of the last tick
	 */
	public MembershipView view() {
		return this.view;
	}

	/**
	 * Tells peers from now on that this entry leaves.
	 */
	public void drain() {
		this.draining = true;
		this.thread.offer(this::tellAll);
	}

	/**
	 * Takes note of entries that the platform lists.
	 * @param controlAddresses their control addresses
	 */
	public void listed(List<String> controlAddresses) {
		this.thread.offer(() -> controlAddresses.forEach(this::learn));
	}

	/**
	 * Takes note of how long ago the platform answered.
	 * @param millis in milliseconds, -1 for never
	 */
	public void platformAge(long millis) {
		this.platformAgeMillis = millis;
	}

	/**
	 * Takes note of a report that a peer sent, and returns this entry's.
	 * @param report the peer's report
	 * @return this entry's report
	 */
	public PeerReport exchanged(PeerReport report) {
		this.thread.offer(() -> heardPeer(report));
		return ownReport();
	}

	private void learn(String address) {
		if (!address.equals(this.controlAddress)) {
			this.peers.learn(address);
		}
	}

	private void tick() {
		this.peers.suspectSilent();
		publish();
		beatAgents();
		PeerReport report = ownReport();
		retain(this.peerLinks, new HashSet<>(this.peers.partners()));
		this.peers.callees(this.controlAddress).forEach((address) -> exchange(address, report));
	}

	private void tellAll() {
		publish();
		beatAgents();
		PeerReport report = ownReport();
		this.peers.partners().forEach((address) -> exchange(address, report));
	}

	private void publish() {
		Optional<ServerTable.AgentProgress> agents = this.view.agentsBehind();
		DataCentreProgress own = ownProgress(agents);
		List<DataCentreProgress> all = new ArrayList<>(this.peers.otherDataCentres());
		all.add(own);
		this.toldProgress = this.peers.representative() ? all : List.of(own);
		this.namedEntries = (this.random.nextInt(NAMING_TURNS) == 0) ? namedEntries() : List.of();
		this.view = new MembershipView(this.peers.relay(), this.peers.liveEntries(), all, agents,
				this.view.silentServers());
		Set<String> observed = Set.copyOf(this.agentLinks.keySet());
		this.loop.run(() -> {
			this.servers.suspectSilent();
			Optional<ServerTable.AgentProgress> behind = this.servers.furthestBehind();
			Set<String> silent = this.servers.silent(observed);
			this.thread.offer(() -> this.view = this.view.withServers(behind, silent));
		});
	}

	private List<String> namedEntries() {
		List<String> live = new ArrayList<>(this.peers.liveAddresses());
		Collections.shuffle(live, this.random);
		return List.copyOf(live.subList(0, Math.min(NAMED_ENTRIES, live.size())));
	}

	private DataCentreProgress ownProgress(Optional<ServerTable.AgentProgress> agents) {
		long revision = this.config.current().revision();
		String waitsFor = this.settings.name();
		if (agents.isPresent() && agents.get().revision() < revision) {
			revision = agents.get().revision();
			waitsFor = agents.get().name();
		}
		for (PeerReport peer : this.peers.liveReportsHere()) {
			if (peer.getConfigRevision() < revision) {
				revision = peer.getConfigRevision();
				waitsFor = peer.getEntryName();
			}
			if (peer.getAgentsRevision() < revision) {
				revision = peer.getAgentsRevision();
				waitsFor = peer.getAgentsWaitFor();
			}
		}
		return new DataCentreProgress(this.settings.dataCentre(), revision, 0, waitsFor);
	}

	private PeerReport ownReport() {
		MembershipView now = this.view;
		long revision = this.config.current().revision();
		PeerReport report = new PeerReport();
		report.setCredential(this.settings.fleetCredential());
		report.setEntryName(this.settings.name());
		report.setIncarnation(this.sequence.incarnation());
		report.setDataCentre(this.settings.dataCentre());
		report.setControlAddress(this.controlAddress);
		report.setDraining(this.draining);
		report.setConfigRevision(revision);
		report.setAgentsRevision(now.agentsBehind().map(ServerTable.AgentProgress::revision).orElse(revision));
		report.setAgentsWaitFor(now.agentsBehind().map(ServerTable.AgentProgress::name).orElse(""));
		report.setProgress(this.toldProgress);
		report.setKnownEntries(this.namedEntries);
		report.setPlatformAgeMillis(this.platformAgeMillis);
		return report;
	}

	// ---- agents

	private void beatAgents() {
		Map<String, BackendServerSpec> observed = ObservedServers.of(this.config.current().servers(),
				this.settings.name(), this.settings.dataCentre());
		observed.forEach(
				(name, server) -> Addresses.parse(server.controlAddress()).ifPresent((address) -> beat(name, address)));
		retain(this.agentLinks, observed.keySet());
	}

	private void beat(String name, InetSocketAddress address) {
		AgentLinks links = this.agentLinks.get(name);
		if (links == null || !links.address().equals(address)) {
			links = newAgentLinks(address);
			AgentLinks old = this.agentLinks.put(name, links);
			if (old != null) {
				old.close();
			}
		}
		EntryHeartbeat heartbeat = new EntryHeartbeat(this.settings.fleetCredential(), this.settings.name(),
				this.sequence.incarnation(), this.sequence.floor());
		AgentLinks used = links;
		links.heartbeats()
			.<AgentReport>call((client, callback) -> client.heartbeat(heartbeat, callback),
					onAnswer((report) -> heardAgent(name, used, report)));
	}

	private AgentLinks newAgentLinks(InetSocketAddress address) {
		long timeoutMillis = this.settings.heartbeatMillis() * 2;
		ThriftCalls.ClientFactory<AgentControl.AsyncClient> factory = AgentControl.AsyncClient::new;
		return new AgentLinks(address, this.calls.link(address, factory, timeoutMillis),
				this.calls.link(address, factory, timeoutMillis));
	}

	private void heardAgent(String name, AgentLinks links, AgentReport report) {
		this.loop.run(() -> this.servers.heard(name, report));
		Snapshot snapshot = this.config.current();
		if (report.getConfigRevision() >= snapshot.revision()) {
			return;
		}
		ConfigPush push = new ConfigPush();
		push.setCredential(this.settings.fleetCredential());
		push.setRevision(snapshot.revision());
		push.setDocument(AgentDocument.of(snapshot).encode());
		links.pushes().<Long>call((client, callback) -> client.configure(push, callback), onAnswer((revision) -> {
			AgentReport updated = new AgentReport(report);
			updated.setConfigRevision(revision);
			this.loop.run(() -> this.servers.heard(name, updated));
		}));
	}

	// ---- entries

	private void exchange(String address, PeerReport report) {
		PeerLinks links = this.peerLinks.get(address);
		if (links == null) {
			links = newPeerLinks(address);
			this.peerLinks.put(address, links);
		}
		links.exchanges()
			.<PeerReport>call((client, callback) -> client.exchange(report, callback),
					onAnswer((answer) -> this.thread.offer(() -> heardPeer(answer))));
	}

	private PeerLinks newPeerLinks(String address) {
		InetSocketAddress socket = Addresses.parse(address)
			.orElseThrow(() -> new IllegalStateException("peers are learnt by IP:PORT: " + address));
		long timeoutMillis = this.settings.heartbeatMillis() * 2;
		ThriftCalls.ClientFactory<EntryControl.AsyncClient> factory = EntryControl.AsyncClient::new;
		return new PeerLinks(this.calls.link(socket, factory, timeoutMillis),
				this.calls.link(socket, factory, timeoutMillis));
	}

	private void heardPeer(PeerReport report) {
		this.peers.heard(report);
		long have = this.config.current().revision();
		if (report.getConfigRevision() <= have) {
			return;
		}
		PeerLinks links = this.peerLinks.computeIfAbsent(report.getControlAddress(), this::newPeerLinks);
		String credential = this.settings.fleetCredential();
		links.fetches()
			.<ConfigDocument>call((client, callback) -> client.fetchConfig(credential, have, callback),
					onAnswer((document) -> this.config.offerEncoded(document.getRevision(), document.getDocument())));
	}

	private static <T extends AutoCloseableLinks> void retain(Map<String, T> links, Set<String> wanted) {
		links.entrySet().removeIf((entry) -> {
			boolean unwanted = !wanted.contains(entry.getKey());
			if (unwanted) {
				entry.getValue().close();
			}
			return unwanted;
		});
	}

	private static <T> Reply<T> onAnswer(Consumer<T> then) {
		return new Reply<>() {
			@Override
			public void received(T answer) {
				then.accept(answer);
			}

			@Override
			public void failed(Exception cause) {
				// Silence is noticed by its length, so a failed heartbeat needs no note.
			}
		};
	}

	@Override
	public void close() {
		this.thread.close();
		this.agentLinks.values().forEach(AgentLinks::close);
		this.peerLinks.values().forEach(PeerLinks::close);
	}

	/**
	 * Links that can be closed.
	 */
	private interface AutoCloseableLinks {

		void close();

	}

	private record AgentLinks(InetSocketAddress address, ThriftLink<AgentControl.AsyncClient> heartbeats,
			ThriftLink<AgentControl.AsyncClient> pushes) implements AutoCloseableLinks {

		@Override
		public void close() {
			this.heartbeats.close();
			this.pushes.close();
		}

	}

	private record PeerLinks(ThriftLink<EntryControl.AsyncClient> exchanges,
			ThriftLink<EntryControl.AsyncClient> fetches) implements AutoCloseableLinks {

		@Override
		public void close() {
			this.exchanges.close();
			this.fetches.close();
		}

	}

}
