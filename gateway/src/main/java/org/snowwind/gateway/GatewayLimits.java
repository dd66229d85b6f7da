package org.snowwind.gateway;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.gateway.backend.BackendTable;
import org.snowwind.gateway.backend.SharedLimits;
import org.snowwind.gateway.limit.LimitDuty;
import org.snowwind.gateway.limit.LimitMessages;
import org.snowwind.gateway.limit.ServerCalls;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.http.DataLoop;
import org.snowwind.model.MonotonicClock;
import org.snowwind.wire.ThriftCalls;
import org.snowwind.wire.generated.LimitNews;

/**
 * Hands what the loop knows of limits and backoffs to the threads that tell peers, ask
 * for parts of rates and ask ranks, and back.
 */
final class GatewayLimits implements AutoCloseable {

	private final DataLoop loop;

	private final BackendTable backends;

	private final SharedLimits limits;

	private final MonotonicClock clock;

	private final LimitDuty duty;

	private final ServerCalls calls;

	private volatile SharedLimits.Snapshot told = SharedLimits.Snapshot.NONE;

	private volatile Map<String, Long> backoffs = Map.of();

	private volatile int coldServers;

	/**
	 * Creates limits that ask nobody yet.
	 * @param name the name of this gateway
	 * @param loop owns the limits
	 * @param backends the servers
	 * @param parts what they work with
	 */
	GatewayLimits(String name, DataLoop loop, BackendTable backends, Parts parts) {
		this.loop = loop;
		this.backends = backends;
		this.limits = backends.limits();
		this.clock = parts.clock();
		this.duty = new LimitDuty(name,
				new LimitDuty.LocalGateway(parts.peers(), parts.leaving(), () -> this.told.wishes(), this::granted),
				parts.thriftCalls(), parts.clock());
		this.calls = new ServerCalls(parts.registry(),
				new ServerCalls.Restrictions(() -> this.told.activeLimits(), () -> this.backoffs), this::onNotice,
				parts.clock());
		Gauge.builder("snowwind.gateway.servers.backing.off", () -> this.backoffs.size()).register(parts.registry());
		Gauge.builder("snowwind.gateway.servers.cold", () -> this.coldServers).register(parts.registry());
		FunctionCounter.builder("snowwind.gateway.servers.cold.withheld", backends, BackendTable::coldWithheldCount)
			.register(parts.registry());
		Gauge.builder("snowwind.gateway.servers.limited", () -> this.told.activeLimits().size())
			.register(parts.registry());
		Gauge.builder("snowwind.gateway.limits.granted.per.second", () -> this.told.grantedPerSecond())
			.register(parts.registry());
	}

	private void granted(List<SharedLimits.Grant> grants, long askedMillis) {
		this.loop.run(() -> this.limits.applyGrants(grants, askedMillis));
	}

	private void onNotice(BackendIncarnation run, ServerNotice notice, long sentMillis) {
		this.loop.run(() -> this.backends.onNotice(run, notice, sentMillis));
	}

	void start() {
		this.duty.start();
	}

	/**
	 * Tells the other threads what is known now. Runs on the loop.
	 */
	void tell() {
		this.told = this.limits.snapshot();
		this.backoffs = this.backends.backoffs();
		this.coldServers = this.backends.refreshCold();
	}

	/**
	 * Takes over what a peer has heard.
	 * @param words words of servers, by the own clock
	 */
	void heard(List<SharedLimits.LimitAnnouncement> words) {
		this.loop.run(() -> this.limits.onPeerAnnouncements(words));
	}

	List<LimitNews> news() {
		return LimitMessages.toMessages(this.told.announcements(), this.clock.nowMillis());
	}

	LimitDuty duty() {
		return this.duty;
	}

	ServerCalls calls() {
		return this.calls;
	}

	@Override
	public void close() {
		this.duty.close();
	}

	/**
	 * What limits work with.
	 *
	 * @param peers the control addresses of other gateways that live, by their names
	 * @param leaving whether this gateway stops
	 * @param thriftCalls carries requests to other gateways
	 * @param registry takes the meters
	 * @param clock tells the time
	 */
	record Parts(Supplier<Map<String, String>> peers, BooleanSupplier leaving, ThriftCalls thriftCalls,
			MeterRegistry registry, MonotonicClock clock) {

	}

}
