package org.snowwind.entry.member;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.snowwind.config.settings.Addresses;
import org.snowwind.config.settings.EntrySettings;
import org.snowwind.config.snapshot.AgentDocument;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.entry.config.ConfigHolder;
import org.snowwind.http.DataLoop;
import org.snowwind.model.EraRevision;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.wire.ThriftCalls;
import org.snowwind.wire.ThriftLink;
import org.snowwind.wire.generated.AgentControl;
import org.snowwind.wire.generated.AgentReport;
import org.snowwind.wire.generated.ConfigPush;
import org.snowwind.wire.generated.EntryHeartbeat;

/**
 * Heartbeats to the observed agents, and configuration for those that are behind.
 * Confined to the membership thread.
 */
final class AgentHeartbeats {

	private final EntrySettings settings;

	private final DataLoop loop;

	private final ServerTable servers;

	private final AttemptSequence sequence;

	private final ConfigHolder config;

	private final ThriftCalls calls;

	private final Map<String, Links> links = new HashMap<>();

	private Map<String, BackendServerSpec> observed = Map.of();

	private Set<String> unobserved = Set.of();

	private EraRevision chosenRevision;

	AgentHeartbeats(EntrySettings settings, DataLoop loop, ServerTable servers, AttemptSequence sequence,
			ConfigHolder config, ThriftCalls calls) {
		this.settings = settings;
		this.loop = loop;
		this.servers = servers;
		this.sequence = sequence;
		this.config = config;
		this.calls = calls;
	}

	Set<String> unobserved() {
		return this.unobserved;
	}

	void beat() {
		chooseAnew(this.config.current());
		this.observed.forEach(
				(name, server) -> Addresses.parse(server.controlAddress()).ifPresent((address) -> beat(name, address)));
		forgetOthers(this.observed.keySet());
	}

	// Choosing ranks every server, so it is done once for each configuration.
	private void chooseAnew(Snapshot snapshot) {
		if (!snapshot.revision().equals(this.chosenRevision)) {
			this.observed = ObservedServers.of(snapshot.servers(), this.settings.name(), this.settings.dataCentre());
			this.unobserved = snapshot.servers()
				.stream()
				.map(ResourceSet.Named::name)
				.filter((name) -> !this.observed.containsKey(name))
				.collect(Collectors.toUnmodifiableSet());
			this.chosenRevision = snapshot.revision();
		}
	}

	private void beat(String name, InetSocketAddress address) {
		Links links = this.links.get(name);
		if (links == null || !links.address().equals(address)) {
			links = newLinks(address);
			Links old = this.links.put(name, links);
			if (old != null) {
				old.close();
			}
		}
		EntryHeartbeat heartbeat = new EntryHeartbeat(this.settings.fleetCredential(), this.settings.name(),
				this.sequence.incarnation(), this.sequence.floor());
		Links used = links;
		links.heartbeats()
			.<AgentReport>call((client, callback) -> client.heartbeat(heartbeat, callback),
					Replies.onAnswer((report) -> heardAgent(name, used, report)));
	}

	private Links newLinks(InetSocketAddress address) {
		long timeoutMillis = this.settings.heartbeatMillis() * 2;
		ThriftCalls.ClientFactory<AgentControl.AsyncClient> factory = AgentControl.AsyncClient::new;
		return new Links(address, this.calls.link(address, factory, timeoutMillis),
				this.calls.link(address, factory, timeoutMillis));
	}

	private void heardAgent(String name, Links links, AgentReport report) {
		this.loop.run(() -> this.servers.heard(name, report));
		Snapshot snapshot = this.config.current();
		if (report.getConfigRevision() >= snapshot.revision().toLong()) {
			return;
		}
		ConfigPush push = new ConfigPush();
		push.setCredential(this.settings.fleetCredential());
		push.setRevision(snapshot.revision().toLong());
		push.setDocument(AgentDocument.of(snapshot).encode());
		links.pushes()
			.<Long>call((client, callback) -> client.configure(push, callback), Replies.onAnswer((revision) -> {
				AgentReport updated = new AgentReport(report);
				updated.setConfigRevision(revision);
				this.loop.run(() -> this.servers.heard(name, updated));
			}));
	}

	private void forgetOthers(Set<String> wanted) {
		this.links.entrySet().removeIf((entry) -> {
			boolean unwanted = !wanted.contains(entry.getKey());
			if (unwanted) {
				entry.getValue().close();
			}
			return unwanted;
		});
	}

	void close() {
		this.links.values().forEach(Links::close);
	}

	private record Links(InetSocketAddress address, ThriftLink<AgentControl.AsyncClient> heartbeats,
			ThriftLink<AgentControl.AsyncClient> pushes) {

		private void close() {
			this.heartbeats.close();
			this.pushes.close();
		}

	}

}
