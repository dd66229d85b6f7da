package org.snowwind.app.measure.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.apache.thrift.transport.TTransportException;
import org.snowwind.agent.AgentDaemon;
import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.LoopbackDevice;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.Measurement;
import org.snowwind.app.measure.MeasurementFailed;
import org.snowwind.app.measure.ThreadCpu;
import org.snowwind.config.settings.AgentSettings;
import org.snowwind.config.settings.LogFormat;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.config.snapshot.SnapshotCodec;
import org.snowwind.model.EraRevision;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.wire.Reply;
import org.snowwind.wire.ThriftCalls;
import org.snowwind.wire.ThriftLink;
import org.snowwind.wire.generated.AgentControl;
import org.snowwind.wire.generated.AgentReport;
import org.snowwind.wire.generated.EntryHeartbeat;

/**
 * The slopes that the capacity page is worked out from.
 */
public final class CapacityMeasurement implements Measurement {

	private static final int SERVERS = 2400;

	private static final int ORGANISATIONS = 210;

	private static final double NANOS_PER_MICRO = 1000;

	private static final double BYTES_PER_MEGABYTE = 1 << 20;

	private static final String CREDENTIAL = "capacity";

	@Override
	public String name() {
		return "capacity";
	}

	@Override
	public String summary() {
		return "slopes for docs/CAPACITY.md: heartbeats, configuration and memory at the planned size";
	}

	@Override
	public List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException {
		List<Figure> figures = new ArrayList<>();
		heartbeats(figures, options.repeats(20_000, 4000));
		configuration(figures);
		return figures;
	}

	private static void heartbeats(List<Figure> figures, int count) throws MeasurementFailed, InterruptedException {
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		AgentSettings.Backend backend = new AgentSettings.Backend("chat", AgentSettings.Backend.Kind.ENGINE, any);
		AgentSettings settings = new AgentSettings("agent", "casa", any, any, any, CREDENTIAL, 16, 64, 64, 0,
				List.of(backend), LogFormat.TEXT);
		try (AgentDaemon agent = new AgentDaemon(settings);
				ThriftCalls calls = new ThriftCalls(ThriftCalls.DOCUMENT_BYTES)) {
			ThriftCalls.ClientFactory<AgentControl.AsyncClient> factory = AgentControl.AsyncClient::new;
			ThriftLink<AgentControl.AsyncClient> link = calls.link(agent.start().control(), factory, 5000);
			beat(link, count / 4);
			double agentNanos = -ThreadCpu.nanos("agent-") - ThreadCpu.nanos("pool-");
			double entryNanos = -ThreadCpu.nanos("TAsyncClientManager");
			double bytes = -LoopbackDevice.receivedBytes();
			beat(link, count);
			agentNanos += ThreadCpu.nanos("agent-") + ThreadCpu.nanos("pool-");
			entryNanos += ThreadCpu.nanos("TAsyncClientManager");
			bytes += LoopbackDevice.receivedBytes();
			figures.add(Figure.of("agent CPU a heartbeat", agentNanos / count / NANOS_PER_MICRO, "us"));
			figures.add(Figure.of("entry CPU a heartbeat", entryNanos / count / NANOS_PER_MICRO, "us"));
			figures.add(Figure.of("traffic a heartbeat, both ways, headers included", bytes / count, "bytes"));
		}
		catch (TTransportException ex) {
			throw new MeasurementFailed("an agent cannot listen", ex);
		}
	}

	private static void beat(ThriftLink<AgentControl.AsyncClient> link, int count)
			throws InterruptedException, MeasurementFailed {
		CountDownLatch answered = new CountDownLatch(count);
		new Beater(link, answered).next();
		if (!answered.await(60, TimeUnit.SECONDS)) {
			throw new MeasurementFailed("heartbeats are not answered");
		}
	}

	private static void configuration(List<Figure> figures) {
		long before = usedBytes();
		Snapshot snapshot = plannedSize();
		long after = usedBytes();
		byte[] whole = SnapshotCodec.encode(snapshot, EraRevision.NONE, null);
		byte[] change = SnapshotCodec.encode(snapshot, EraRevision.ofLong(SERVERS + ORGANISATIONS - 1), List.of());
		figures.add(Figure.of("snapshot in memory at the planned size", (after - before) / BYTES_PER_MEGABYTE, "MB"));
		figures.add(Figure.of("whole configuration on the wire", whole.length / BYTES_PER_MEGABYTE, "MB"));
		figures.add(Figure.of("configuration a server on the wire", (double) whole.length / (SERVERS + ORGANISATIONS),
				"bytes"));
		figures.add(Figure.of("one change on the wire", change.length, "bytes"));
	}

	private static Snapshot plannedSize() {
		List<Resource> resources = new ArrayList<>();
		for (int i = 0; i < SERVERS; i++) {
			String host = "10." + i / 250 + "." + i % 250 + ".7:";
			resources.add(new Resource(new ResourceKey(ResourceKind.BACKEND_SERVER, "server-" + i), 1,
					EraRevision.ofLong(i + 1), new BackendServerSpec("dc-" + i % 21, host + "7200", host + "7201",
							List.of("model-" + i % 28), null)));
		}
		for (int i = 0; i < ORGANISATIONS; i++) {
			resources.add(new Resource(new ResourceKey(ResourceKind.ORGANISATION, "organisation-" + i), 1,
					EraRevision.ofLong(SERVERS + i + 1),
					new OrganisationSpec(List.of(String.format("%064x", i)), 0, 0, 0, 0, 0)));
		}
		return new Snapshot(EraRevision.ofLong(SERVERS + ORGANISATIONS), ResourceSet.of(resources), ResourceSet.EMPTY,
				java.util.Map.of());
	}

	private static long usedBytes() {
		System.gc();
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	/**
	 * Sends one heartbeat after the other.
	 *
	 * @param link the link to the agent
	 * @param answered counts down the answers
	 */
	private record Beater(ThriftLink<AgentControl.AsyncClient> link, CountDownLatch answered) {

		private void next() {
			EntryHeartbeat heartbeat = new EntryHeartbeat(CREDENTIAL, "entry-casa-1", Long.MAX_VALUE / 3,
					this.answered.getCount());
			this.link.<AgentReport>call((client, callback) -> client.heartbeat(heartbeat, callback), new Reply<>() {
				@Override
				public void received(AgentReport report) {
					Beater.this.answered.countDown();
					if (Beater.this.answered.getCount() > 0) {
						next();
					}
				}

				@Override
				public void failed(Exception cause) {
					// The latch runs out of time and says so.
				}
			});
		}

	}

}
