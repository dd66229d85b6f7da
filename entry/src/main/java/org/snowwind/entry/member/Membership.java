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

import org.snowwind.config.settings.Addresses;
import org.snowwind.config.settings.EntrySettings;
import org.snowwind.entry.config.ConfigHolder;
import org.snowwind.http.DataLoop;
import org.snowwind.model.EraRevision;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.wire.ThriftCalls;
import org.snowwind.wire.ThriftLink;
import org.snowwind.wire.generated.ConfigDocument;
import org.snowwind.wire.generated.DataCentreProgress;
import org.snowwind.wire.generated.EntryControl;
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

	private final AgentHeartbeats agents;

	private final PeerTable peers;

	private final DutyThread thread;

	private final Random random;

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
		this.agents = new AgentHeartbeats(settings, loop, servers, sequence, config, calls);
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
		this.agents.beat();
		PeerReport report = ownReport();
		retain(new HashSet<>(this.peers.partners()));
		this.peers.callees(this.controlAddress).forEach((address) -> exchange(address, report));
	}

	private void tellAll() {
		publish();
		this.agents.beat();
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
				this.view.answeringServers(), this.view.unobservedServers());
		Set<String> unobserved = this.agents.unobserved();
		this.loop.run(() -> {
			this.servers.suspectSilent();
			Optional<ServerTable.AgentProgress> behind = this.servers.furthestBehind();
			Set<String> answering = this.servers.answering();
			this.thread.offer(() -> this.view = this.view.withServers(behind, answering, unobserved));
		});
	}

	private List<String> namedEntries() {
		List<String> live = new ArrayList<>(this.peers.liveAddresses());
		Collections.shuffle(live, this.random);
		return List.copyOf(live.subList(0, Math.min(NAMED_ENTRIES, live.size())));
	}

	private DataCentreProgress ownProgress(Optional<ServerTable.AgentProgress> agents) {
		long revision = this.config.current().revision().toLong();
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
		long revision = this.config.current().revision().toLong();
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

	private void exchange(String address, PeerReport report) {
		PeerLinks links = this.peerLinks.get(address);
		if (links == null) {
			links = newPeerLinks(address);
			this.peerLinks.put(address, links);
		}
		links.exchanges()
			.<PeerReport>call((client, callback) -> client.exchange(report, callback),
					Replies.onAnswer((answer) -> this.thread.offer(() -> heardPeer(answer))));
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
		long have = this.config.current().revision().toLong();
		if (report.getConfigRevision() <= have) {
			return;
		}
		PeerLinks links = this.peerLinks.computeIfAbsent(report.getControlAddress(), this::newPeerLinks);
		String credential = this.settings.fleetCredential();
		links.fetches()
			.<ConfigDocument>call((client, callback) -> client.fetchConfig(credential, have, callback), Replies
				.onAnswer((document) -> this.config
					.offerEncoded(EraRevision.ofLong(Math.max(0, document.getRevision())), document.getDocument())));
	}

	private void retain(Set<String> wanted) {
		this.peerLinks.entrySet().removeIf((entry) -> {
			boolean unwanted = !wanted.contains(entry.getKey());
			if (unwanted) {
				entry.getValue().close();
			}
			return unwanted;
		});
	}

	@Override
	public void close() {
		this.thread.close();
		this.agents.close();
		this.peerLinks.values().forEach(PeerLinks::close);
	}

	private record PeerLinks(ThriftLink<EntryControl.AsyncClient> exchanges,
			ThriftLink<EntryControl.AsyncClient> fetches) {

		private void close() {
			this.exchanges.close();
			this.fetches.close();
		}

	}

}
