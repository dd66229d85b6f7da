package org.snowwind.app.measure.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;

import org.apache.thrift.transport.TTransportException;
import org.snowwind.config.check.BuiltInChecks;
import org.snowwind.config.check.ResourceChecks;
import org.snowwind.config.settings.EntrySettings;
import org.snowwind.config.settings.LogFormat;
import org.snowwind.config.snapshot.SnapshotBuilder;
import org.snowwind.entry.config.ConfigHolder;
import org.snowwind.entry.config.PlatformWatcher;
import org.snowwind.entry.member.AttemptSequence;
import org.snowwind.entry.member.EntryControlService;
import org.snowwind.entry.member.LateService;
import org.snowwind.entry.member.Membership;
import org.snowwind.entry.member.ServerTable;
import org.snowwind.http.DataLoop;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.store.ObjectStore;
import org.snowwind.wire.ControlLimits;
import org.snowwind.wire.ThriftCalls;
import org.snowwind.wire.ThriftServer;
import org.snowwind.wire.generated.EntryControl;

/**
 * The control side of an entry without its data side: real Thrift on loopback.
 */
final class ConfigMember implements AutoCloseable {

	private static final long HEARTBEAT_MILLIS = 500;

	private static final String CREDENTIAL = "measure";

	private final DataLoop loop;

	private final ThriftCalls calls = new ThriftCalls(ThriftCalls.DOCUMENT_BYTES);

	private final ConfigHolder config;

	private final Membership membership;

	private final ThriftServer control;

	private final DutyThread configThread;

	private final InetSocketAddress address;

	ConfigMember(String name, String dataCentre, ObjectStore store, List<InetSocketAddress> seeds, long seed)
			throws TTransportException {
		MonotonicClock clock = MonotonicClock.system();
		Random random = new Random(seed);
		this.loop = new DataLoop("member-loop");
		this.config = new ConfigHolder(name);
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		EntrySettings settings = new EntrySettings(name, dataCentre, any, any, any, any, "", 1000, CREDENTIAL, "",
				seeds, HEARTBEAT_MILLIS, 0, 0, 1000, 60_000, 1, LogFormat.TEXT);
		ServerTable servers = new ServerTable(dataCentre, clock, random, HEARTBEAT_MILLIS * 3);
		this.config.onChange((snapshot) -> this.loop.run(() -> servers.use(snapshot)));
		LateService late = new LateService();
		this.control = new ThriftServer(any, new EntryControl.Processor<>(late), "member-control",
				ControlLimits.DOCUMENTS);
		this.address = new InetSocketAddress(any.getAddress(), this.control.port());
		this.membership = new Membership(settings, this.address, this.loop, servers,
				new AttemptSequence(random.nextLong()), this.config, this.calls, clock, random);
		late.is(new EntryControlService(this.membership, this.config, CREDENTIAL));
		PlatformWatcher watcher = new PlatformWatcher(store, new SnapshotBuilder(new ResourceChecks(BuiltInChecks.ALL)),
				this.config, () -> this.membership.view().relay(), clock, random, this.membership::platformAge);
		this.configThread = new DutyThread("member-config", 16, 100, watcher::round);
	}

	void start() {
		this.membership.start();
		this.configThread.start();
	}

	InetSocketAddress address() {
		return this.address;
	}

	ConfigHolder config() {
		return this.config;
	}

	boolean relay() {
		return this.membership.view().relay();
	}

	int liveEntries() {
		return this.membership.view().liveEntries();
	}

	@Override
	public void close() {
		this.configThread.close();
		this.membership.close();
		this.control.close();
		this.calls.close();
		this.loop.close();
	}

}
