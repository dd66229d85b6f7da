package org.snowwind.app.trial;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelException;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.thrift.transport.TTransportException;
import org.snowwind.agent.AgentDaemon;
import org.snowwind.app.load.Caller;
import org.snowwind.app.load.PromiseCheck;
import org.snowwind.config.settings.Addresses;
import org.snowwind.config.settings.AgentSettings;
import org.snowwind.config.settings.EntrySettings;
import org.snowwind.config.settings.LogFormat;
import org.snowwind.entry.EntryDaemon;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.JsonClient;
import org.snowwind.model.Json;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.model.resource.ModelGroupSpec;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.ResourceSpec;
import org.snowwind.model.resource.RoutingPolicySpec;
import org.snowwind.model.resource.ServiceSpec;
import org.snowwind.standin.StandInEngine;
import org.snowwind.standin.StandInPlainService;
import org.snowwind.standin.StandInPlatform;

/**
 * A platform, back ends, agents and entries in one process, on loopback.
 */
public final class TrialFleet implements AutoCloseable {

	/** The model that the engines serve. */
	public static final String MODEL = "chat";

	/** The plain service. */
	public static final String SERVICE = "desk";

	/** The token that operators show. */
	public static final String OPERATOR_TOKEN = "trial-operator";

	private static final String CREDENTIAL = "trial-fleet";

	private static final long BURN_WRITE_MILLIS = 2000;

	private static final int MAX_STARTS = 50;

	private static final long RESTART_PAUSE_NANOS = 100_000_000;

	private static final long GRACE_MILLIS = 500;

	private static final long PLATFORM_TIMEOUT_MILLIS = 1000;

	private final TrialSettings settings;

	private final List<DataLoop> standInLoops = new ArrayList<>();

	private final DataLoop platformLoop = newLoop("platform");

	private final StandInPlatform platform = new StandInPlatform(this.platformLoop);

	private final InetSocketAddress platformAddress;

	private final Map<String, StandInEngine> engines = new LinkedHashMap<>();

	private final Map<String, StandInPlainService> services = new LinkedHashMap<>();

	private final Map<String, RunningAgent> agents = new LinkedHashMap<>();

	private final Map<String, RunningEntry> entries = new LinkedHashMap<>();

	/**
	 * Starts everything.
	 * @param settings how much of it
	 * @throws TTransportException if an address cannot be had
	 * @throws IOException if the stand-in platform does not answer
	 */
	public TrialFleet(TrialSettings settings) throws TTransportException, IOException {
		this.settings = settings;
		this.platformAddress = this.platform.start(anyPort());
		for (String dataCentre : settings.dataCentres()) {
			startBackends(dataCentre);
		}
		for (String dataCentre : settings.dataCentres()) {
			startEntries(dataCentre);
		}
	}

	private DataLoop newLoop(String name) {
		DataLoop loop = new DataLoop(name);
		this.standInLoops.add(loop);
		return loop;
	}

	private void startBackends(String dataCentre) throws TTransportException {
		DataLoop loop = newLoop("backends-" + dataCentre);
		for (int i = 1; i <= this.settings.enginesPerDataCentre(); i++) {
			String name = "engine-" + dataCentre + "-" + i;
			StandInEngine engine = new StandInEngine(loop, this.settings.engine());
			this.engines.put(name, engine);
			startAgent(name, dataCentre, MODEL, AgentSettings.Backend.Kind.ENGINE, engine.start(anyPort()));
		}
		for (int i = 1; i <= this.settings.servicesPerDataCentre(); i++) {
			String name = "desk-" + dataCentre + "-" + i;
			StandInPlainService service = new StandInPlainService(loop);
			this.services.put(name, service);
			startAgent(name, dataCentre, SERVICE, AgentSettings.Backend.Kind.PLAIN, service.start(anyPort()));
		}
	}

	private void startAgent(String name, String dataCentre, String target, AgentSettings.Backend.Kind kind,
			InetSocketAddress backend) throws TTransportException {
		AgentSettings agentSettings = new AgentSettings(name, dataCentre, anyPort(), anyPort(), anyPort(), CREDENTIAL,
				this.settings.startConcurrency(), this.settings.maxConcurrency(),
				this.settings.maxWaitingPerOrganisation(), this.settings.drainMillis(),
				List.of(new AgentSettings.Backend(target, kind, backend)), LogFormat.TEXT);
		AgentDaemon daemon = new AgentDaemon(agentSettings);
		this.agents.put(name, new RunningAgent(daemon, agentSettings, dataCentre, target, daemon.start()));
	}

	/**
	 * Cuts an agent off, as a crash would, and starts it anew on its addresses.
	 * @param name the server's name
	 * @throws TTransportException if an address cannot be had again
	 */
	public void crashAndRestartAgent(String name) throws TTransportException {
		RunningAgent old = this.agents.get(name);
		old.daemon().close();
		AgentSettings before = old.settings();
		AgentSettings again = new AgentSettings(before.name(), before.dataCentre(), old.addresses().requests(),
				old.addresses().control(), anyPort(), before.fleetCredential(), before.startConcurrency(),
				before.maxConcurrency(), before.maxWaitingPerOrganisation(), before.drainMillis(), before.backends(),
				before.logFormat());
		startAgain(name, again, old);
	}

	// An address is free again only when the old process's last connection is gone.
	private void startAgain(String name, AgentSettings again, RunningAgent old) throws TTransportException {
		for (int attempt = 1;; attempt++) {
			AgentDaemon daemon = new AgentDaemon(again);
			try {
				this.agents.put(name, new RunningAgent(daemon, again, old.dataCentre(), old.target(), daemon.start()));
				return;
			}
			catch (TTransportException | ChannelException ex) {
				daemon.close();
				if (attempt == MAX_STARTS) {
					throw new TTransportException("agent " + name + " cannot be started again", ex);
				}
				LockSupport.parkNanos(RESTART_PAUSE_NANOS);
			}
		}
	}

	private void startEntries(String dataCentre) throws TTransportException, IOException {
		for (int i = 1; i <= this.settings.entriesPerDataCentre(); i++) {
			startEntry("entry-" + dataCentre + "-" + i, dataCentre);
		}
	}

	/**
	 * Starts one more entry.
	 * @param name its name
	 * @param dataCentre where it stands
	 * @throws TTransportException if an address cannot be had
	 * @throws IOException if the stand-in platform does not answer
	 */
	public void startEntry(String name, String dataCentre) throws TTransportException, IOException {
		List<InetSocketAddress> seeds = this.entries.values()
			.stream()
			.map((entry) -> entry.addresses().control())
			.toList();
		EntrySettings entrySettings = new EntrySettings(name, dataCentre, anyPort(), anyPort(), anyPort(), anyPort(),
				"http://" + Addresses.render(this.platformAddress), PLATFORM_TIMEOUT_MILLIS, CREDENTIAL, OPERATOR_TOKEN,
				seeds, this.settings.heartbeatMillis(), GRACE_MILLIS, this.settings.drainMillis(),
				this.settings.streamStallMillis(), BURN_WRITE_MILLIS, 4096, LogFormat.TEXT);
		EntryDaemon daemon = new EntryDaemon(entrySettings);
		EntryDaemon.BoundAddresses addresses = daemon.start();
		this.entries.put(name, new RunningEntry(daemon, dataCentre, addresses));
		listVm(name, dataCentre, addresses.control());
	}

	private void listVm(String name, String dataCentre, InetSocketAddress control) throws IOException {
		try (JsonClient client = new JsonClient(Map.of(), PLATFORM_TIMEOUT_MILLIS)) {
			client.call("PUT", "http://" + Addresses.render(this.platformAddress) + "/v1/vms/" + name, Map.of(),
					Map.of("name", name, "role", "entry", "dataCentre", dataCentre, "controlAddress",
							Addresses.render(control), "leaving", false),
					PLATFORM_TIMEOUT_MILLIS);
		}
	}

	/**
	 * Returns the resources that declare this fleet and its callers.
	 * @param callers the organisations
	 * @param organisationLimits the limits of each, with any key
	 * @return objects with kind, name and spec
	 */
	public List<JsonNode> resources(List<Caller> callers, OrganisationSpec organisationLimits) {
		List<JsonNode> resources = new ArrayList<>();
		for (Caller caller : callers) {
			OrganisationSpec spec = new OrganisationSpec(List.of(DigestUtils.sha256Hex(caller.key())),
					organisationLimits.weight(), organisationLimits.requestsPerSecond(),
					organisationLimits.burstRequests(), organisationLimits.maxOpenRequests(),
					organisationLimits.maxBodyBytes());
			resources.add(resource(ResourceKind.ORGANISATION, caller.organisation(), spec));
		}
		resources.add(resource(ResourceKind.MODEL_GROUP, MODEL, new ModelGroupSpec(MODEL, 1, 1, 0, 0, null)));
		resources.add(resource(ResourceKind.SERVICE, SERVICE, new ServiceSpec("front desk")));
		RoutingPolicySpec.Route charge = new RoutingPolicySpec.Route("POST", "/charge", false, false);
		resources.add(resource(ResourceKind.ROUTING_POLICY, "desk-policy",
				new RoutingPolicySpec(SERVICE, this.settings.budgetMillis(), 3, null, List.of(charge), 0, 0)));
		resources.add(resource(ResourceKind.ROUTING_POLICY, "chat-policy",
				new RoutingPolicySpec(MODEL, this.settings.budgetMillis(), 3, this.settings.choice(), null, 0, 0)));
		this.agents.forEach((name,
				agent) -> resources.add(resource(ResourceKind.BACKEND_SERVER, name,
						new BackendServerSpec(agent.dataCentre(), Addresses.render(agent.addresses().requests()),
								Addresses.render(agent.addresses().control()), List.of(agent.target()), null))));
		return resources;
	}

	private static JsonNode resource(ResourceKind kind, String name, ResourceSpec spec) {
		ObjectNode node = Json.MAPPER.createObjectNode();
		node.put("kind", kind.title());
		node.put("name", name);
		node.set("spec", Json.MAPPER.valueToTree(spec));
		return node;
	}

	/**
	 * Returns the running entries.
	 * @return by name
	 */
	public Map<String, RunningEntry> entries() {
		return Map.copyOf(this.entries);
	}

	/**
	 * Returns the running agents.
	 * @return by name
	 */
	public Map<String, RunningAgent> agents() {
		return Map.copyOf(this.agents);
	}

	/**
	 * Returns the engines.
	 * @return by the name of their server
	 */
	public Map<String, StandInEngine> engines() {
		return Map.copyOf(this.engines);
	}

	/**
	 * Returns the plain services.
	 * @return by the name of their server
	 */
	public Map<String, StandInPlainService> services() {
		return Map.copyOf(this.services);
	}

	/**
	 * Returns where the back ends of a target listen, behind their agents.
	 * @param target the name of the service or model group
	 * @return the addresses
	 */
	public List<InetSocketAddress> backendAddresses(String target) {
		return this.agents.values()
			.stream()
			.flatMap((agent) -> agent.settings().backends().stream())
			.filter((backend) -> backend.target().equals(target))
			.map(AgentSettings.Backend::address)
			.toList();
	}

	/**
	 * Returns the platform.
	 * @return the stand-in
	 */
	public StandInPlatform platform() {
		return this.platform;
	}

	/**
	 * Returns where the platform listens.
	 * @return its URL
	 */
	public String platformUrl() {
		return "http://" + Addresses.render(this.platformAddress);
	}

	/**
	 * Returns the callers' URLs of the running entries.
	 * @return the URLs in the order of the entries' names
	 */
	public List<String> callerUrls() {
		return this.entries.keySet()
			.stream()
			.sorted()
			.map((name) -> "http://" + Addresses.render(this.entries.get(name).addresses().callers()))
			.toList();
	}

	/**
	 * Takes an entry out of the list, as a balancer does, without stopping it.
	 * @param name the entry's name
	 * @return the entry
	 */
	public RunningEntry removeEntry(String name) {
		return this.entries.remove(name);
	}

	/**
	 * Adds up the effects at all plain services.
	 * @return how often each tag had its effect
	 */
	public Map<String, Integer> effects() {
		return PromiseCheck.sum(this.services.values().stream().map(StandInPlainService::effects).toList());
	}

	private static InetSocketAddress anyPort() {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
	}

	@Override
	public void close() {
		this.entries.values().forEach((entry) -> entry.daemon().close());
		this.agents.values().forEach((agent) -> agent.daemon().close());
		this.engines.values().forEach(StandInEngine::close);
		this.services.values().forEach(StandInPlainService::close);
		this.platform.close();
		this.standInLoops.forEach(DataLoop::close);
	}

	/**
	 * An agent that runs.
	 *
	 * @param daemon the agent
	 * @param settings its settings
	 * @param dataCentre where it stands
	 * @param target what it serves
	 * @param addresses where it listens
	 */
	public record RunningAgent(AgentDaemon daemon, AgentSettings settings, String dataCentre, String target,
			AgentDaemon.BoundAddresses addresses) {

	}

	/**
	 * An entry that runs.
	 *
	 * @param daemon the entry
	 * @param dataCentre where it stands
	 * @param addresses where it listens
	 */
	public record RunningEntry(EntryDaemon daemon, String dataCentre, EntryDaemon.BoundAddresses addresses) {

	}

}
