package org.snowwind.app.measure.fleet;

import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.management.OperatingSystemMXBean;
import org.apache.thrift.transport.TTransportException;
import org.snowwind.app.measure.LoopbackDevice;
import org.snowwind.app.measure.MeasurementFailed;
import org.snowwind.config.settings.Addresses;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.JsonClient;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.model.resource.StoredResource;
import org.snowwind.standin.StandInPlatform;
import org.snowwind.store.HttpObjectStore;
import org.snowwind.store.WriteResult;

/**
 * Members of several data centres before one stand-in platform.
 */
final class MemberFleet implements AutoCloseable {

	private static final int PER_DATA_CENTRE = 18;

	private static final long SETTLE_TIMEOUT_MILLIS = 60_000;

	private static final long POLL_MILLIS = 20;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final OperatingSystemMXBean SYSTEM = (OperatingSystemMXBean) ManagementFactory
		.getOperatingSystemMXBean();

	private final DataLoop platformLoop = new DataLoop("platform");

	private final StandInPlatform platform = new StandInPlatform(this.platformLoop);

	private final JsonClient client = new JsonClient(Map.of(), 1000);

	private final HttpObjectStore store;

	private final List<ConfigMember> members = new ArrayList<>();

	private final int dataCentres;

	private int written;

	MemberFleet(int size, long seed) throws MeasurementFailed, InterruptedException {
		InetSocketAddress address = this.platform.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		this.store = new HttpObjectStore(this.client, "http://" + Addresses.render(address), 5000);
		this.dataCentres = (size + PER_DATA_CENTRE - 1) / PER_DATA_CENTRE;
		try {
			for (int i = 0; i < size; i++) {
				List<InetSocketAddress> seeds = this.members.isEmpty() ? List.of()
						: List.of(this.members.get(0).address());
				this.members
					.add(new ConfigMember("member-" + i, "dc-" + i / PER_DATA_CENTRE, this.store, seeds, seed + i));
			}
		}
		catch (TTransportException ex) {
			throw new MeasurementFailed("a member cannot listen", ex);
		}
		this.members.forEach(ConfigMember::start);
		settle();
	}

	int dataCentres() {
		return this.dataCentres;
	}

	private void settle() throws InterruptedException, MeasurementFailed {
		long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_TIMEOUT_MILLIS);
		while (relays() != Math.min(2L * this.dataCentres, this.members.size()) || !allKnowTheirOwn()) {
			if (System.nanoTime() > untilNanos) {
				throw new MeasurementFailed("members do not find each other; " + relays() + " relays");
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
		spread(1, 1);
	}

	private boolean allKnowTheirOwn() {
		int own = Math.min(PER_DATA_CENTRE, this.members.size());
		return this.members.stream().allMatch((member) -> member.liveEntries() >= own);
	}

	private long relays() {
		return this.members.stream().filter(ConfigMember::relay).count();
	}

	/**
	 * Writes changes and times how long each takes to every member.
	 * @param rounds how often
	 * @param changes how many changes at once
	 * @return for each round and member the time to the last change, sorted, in
	 * milliseconds
	 * @throws InterruptedException if the measuring thread is interrupted
	 * @throws MeasurementFailed if a change is not written or not in force in time
	 */
	long[] spread(int rounds, int changes) throws InterruptedException, MeasurementFailed {
		Queue<Long> times = new ConcurrentLinkedQueue<>();
		for (int round = 0; round < rounds; round++) {
			EraRevision revision = EraRevision.NONE;
			for (int change = 0; change < changes; change++) {
				revision = write();
			}
			long acceptedNanos = System.nanoTime();
			await(revision, acceptedNanos, times);
		}
		return times.stream().mapToLong(Long::longValue).sorted().toArray();
	}

	private EraRevision write() throws MeasurementFailed {
		String name = "change-" + this.written++;
		JsonNode value = Json.MAPPER
			.valueToTree(new StoredResource("Service", name, 1, name, Json.MAPPER.createObjectNode()));
		WriteResult result = this.store.put("resources/Service/" + name, EraRevision.NONE, value);
		if (result instanceof WriteResult.Written done) {
			return done.revision();
		}
		throw new MeasurementFailed("the platform did not take a change: " + result);
	}

	private void await(EraRevision revision, long sinceNanos, Queue<Long> times)
			throws InterruptedException, MeasurementFailed {
		List<ConfigMember> waiting = new ArrayList<>(this.members);
		while (!waiting.isEmpty()) {
			long elapsedMillis = Math.round((System.nanoTime() - sinceNanos) / NANOS_PER_MILLI);
			if (elapsedMillis > SETTLE_TIMEOUT_MILLIS) {
				throw new MeasurementFailed(waiting.size() + " members never saw revision " + revision);
			}
			waiting.removeIf((member) -> {
				boolean there = !revision.isNewerThan(member.config().current().revision());
				if (there) {
					times.add(elapsedMillis);
				}
				return there;
			});
			TimeUnit.MILLISECONDS.sleep(1);
		}
	}

	/**
	 * Kills one relay without a word.
	 */
	void killRelay() {
		ConfigMember relay = this.members.stream().filter(ConfigMember::relay).findFirst().orElseThrow();
		this.members.remove(relay);
		relay.close();
	}

	/**
	 * Measures what idle members cost.
	 * @param millis for how long, in milliseconds
	 * @return the cost of one member
	 * @throws InterruptedException if the measuring thread is interrupted
	 * @throws MeasurementFailed if the counters cannot be read
	 */
	Cost idleCost(long millis) throws InterruptedException, MeasurementFailed {
		long calls = -this.platform.calls();
		double cpuNanos = -SYSTEM.getProcessCpuTime();
		double bytes = -LoopbackDevice.receivedBytes();
		TimeUnit.MILLISECONDS.sleep(millis);
		calls += this.platform.calls();
		cpuNanos += SYSTEM.getProcessCpuTime();
		bytes += LoopbackDevice.receivedBytes();
		double seconds = millis / 1000.0;
		return new Cost(calls / seconds, cpuNanos / 1e7 / seconds / this.members.size(),
				bytes / 1024 / seconds / this.members.size());
	}

	@Override
	public void close() {
		this.members.forEach(ConfigMember::close);
		this.client.close();
		this.platform.close();
		this.platformLoop.close();
	}

	/**
	 * What one member costs.
	 *
	 * @param platformCallsPerSecond calls of all members to the platform
	 * @param corePercent CPU of one member
	 * @param kilobytesPerSecond what one member sends, or receives, headers included
	 */
	record Cost(double platformCallsPerSecond, double corePercent, double kilobytesPerSecond) {

	}

}
