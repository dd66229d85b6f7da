package org.snowwind.entry.member;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.snowwind.config.snapshot.ResourceSet.Named;
import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.decide.choice.CandidateFilter;
import org.snowwind.decide.choice.PrefixAffinity;
import org.snowwind.decide.choice.RoundRobin;
import org.snowwind.decide.choice.ServerChooser;
import org.snowwind.decide.choice.ServerView;
import org.snowwind.decide.choice.TwoChoices;
import org.snowwind.decide.silence.AttentiveTime;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.model.resource.RoutingPolicySpec.Choice;
import org.snowwind.wire.generated.AgentReport;

/**
 * The backend servers that this entry observes, and the choice among them. Confined to
 * the loop.
 */
public final class ServerTable {

	private static final double PANIC_SHARE = 0.4;

	private static final double SPILL_FULLNESS = 1;

	private static final double AFFINITY_LOAD_BOUND = 1.5;

	private final String dataCentre;

	private final MonotonicClock clock;

	private final long suspectAfterMillis;

	private final AttentiveTime attentive;

	private final Map<String, Server> servers = new LinkedHashMap<>();

	private final Map<Choice, ServerChooser> choosers = new EnumMap<>(Choice.class);

	/**
	 * Creates a table without servers.
	 * @param dataCentre the entry's data centre
	 * @param clock tells the time
	 * @param random the source of randomness
	 * @param suspectAfterMillis a server silent for so long is suspected, in milliseconds
	 * of attentive time
	 */
	public ServerTable(String dataCentre, MonotonicClock clock, RandomGenerator random, long suspectAfterMillis) {
		this.dataCentre = dataCentre;
		this.clock = clock;
		this.suspectAfterMillis = suspectAfterMillis;
		this.attentive = new AttentiveTime(clock.nowMillis(), AttentiveTime.LONGEST_STEP_MILLIS);
		ServerChooser twoChoices = new TwoChoices(random);
		this.choosers.put(Choice.TWO_CHOICES, twoChoices);
		this.choosers.put(Choice.ROUND_ROBIN, new RoundRobin());
		this.choosers.put(Choice.PREFIX_AFFINITY, new PrefixAffinity(AFFINITY_LOAD_BOUND, twoChoices));
	}

	/**
	 * Returns the time in which the loop was able to take reports of agents. The silence
	 * of servers is measured in this time.
	 * @return the time, which the loop ticks
	 */
	public AttentiveTime attentive() {
		return this.attentive;
	}

	/**
	 * Takes over the servers of a configuration.
	 * @param snapshot the configuration in force
	 */
	public void use(Snapshot snapshot) {
		List<String> declared = new ArrayList<>();
		for (Named<BackendServerSpec> server : snapshot.servers()) {
			declared.add(server.name());
			this.servers.computeIfAbsent(server.name(), (name) -> newServer(server)).spec(server.spec());
		}
		this.servers.keySet().retainAll(declared);
	}

	private Server newServer(Named<BackendServerSpec> server) {
		return new Server(server.name(), server.spec(), server.spec().dataCentre().equals(this.dataCentre));
	}

	/**
	 * Chooses a server for an attempt.
	 * @param target the name of the service or model group
	 * @param choice how to choose
	 * @param affinityHash a hash of what the request shares with others
	 * @param excluded servers that were tried already
	 * @return the server, if there is one
	 */
	public Optional<Server> choose(String target, Choice choice, long affinityHash, Set<String> excluded) {
		long nowMillis = this.clock.nowMillis();
		List<ServerView> views = new ArrayList<>();
		for (Server server : this.servers.values()) {
			boolean serves = server.spec().targets().contains(target);
			if (serves && server.reachable() && !excluded.contains(server.name())) {
				views.add(server.view(nowMillis));
			}
		}
		List<ServerView> healthy = CandidateFilter.healthyUnlessPanic(views,
				(view) -> this.servers.get(view.name()).healthy(nowMillis), PANIC_SHARE);
		List<ServerView> near = CandidateFilter.localUnlessFull(healthy, SPILL_FULLNESS);
		return this.choosers.get(choice).choose(near, affinityHash).map((view) -> this.servers.get(view.name()));
	}

	/**
	 * Tells whether a target has a server that was not tried yet.
	 * @param target the name of the service or model group
	 * @param excluded servers that were tried already
	 * @return true if it has
	 */
	public boolean anyLeft(String target, Set<String> excluded) {
		return this.servers.values()
			.stream()
			.anyMatch((server) -> server.reachable() && server.spec().targets().contains(target)
					&& !excluded.contains(server.name()));
	}

	/**
	 * Takes note of an agent's report.
	 * @param name the server's name
	 * @param report the report
	 */
	public void heard(String name, AgentReport report) {
		Server server = this.servers.get(name);
		if (server == null) {
			return;
		}
		long nowMillis = this.clock.nowMillis();
		switch (server.heard(report, nowMillis, this.attentive.millis(nowMillis))) {
			case RESTARTED -> {
				EventLog.log(Event.SERVER_RESTARTED, "server", name);
				loseWaiting(server);
			}
			case TRUSTED -> EventLog.log(Event.SERVER_TRUSTED, "server", name);
			case NONE -> {
			}
		}
	}

	/**
	 * Suspects servers that have been silent for too long; what waits for their answer is
	 * told.
	 */
	public void suspectSilent() {
		long silentSinceMillis = this.attentive.millis(this.clock.nowMillis()) - this.suspectAfterMillis;
		List<Server> suspected = new ArrayList<>();
		for (Server server : this.servers.values()) {
			if (server.suspectIfSilent(silentSinceMillis)) {
				EventLog.log(Event.SERVER_SUSPECTED, "server", server.name());
				suspected.add(server);
			}
		}
		// Only then is it known which servers are left.
		suspected.forEach(ServerTable::loseWaiting);
	}

	private static void loseWaiting(Server server) {
		server.takeWaiting().forEach(Runnable::run);
	}

	/**
	 * Finds the agent of this data centre that is furthest behind in configuration.
	 * @return its name and revision; empty if no agent here lives
	 */
	public Optional<AgentProgress> furthestBehind() {
		AgentProgress behind = null;
		for (Server server : this.servers.values()) {
			boolean counts = server.sameDataCentre() && !server.suspected();
			if (counts && (behind == null || server.configRevision() < behind.revision())) {
				behind = new AgentProgress(server.name(), server.configRevision());
			}
		}
		return Optional.ofNullable(behind);
	}

	/**
	 * Returns the servers that answer this entry.
	 * @return their names
	 */
	public Set<String> answering() {
		return this.servers.values()
			.stream()
			.filter((server) -> !server.suspected())
			.map(Server::name)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Counts the servers that look healthy.
	 * @return how many do
	 */
	public long healthyCount() {
		long nowMillis = this.clock.nowMillis();
		return this.servers.values().stream().filter((server) -> server.healthy(nowMillis)).count();
	}

	/**
	 * How far an agent has come.
	 *
	 * @param name the server's name
	 * @param revision the revision of its configuration
	 */
	public record AgentProgress(String name, long revision) {

	}

}
