package org.snowwind.http.client.syntax;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.Channel;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Logs the malformed responses that a client receives and counts them by fault.
 */
public final class ResponseFaults {

	private final Map<ResponseFault, LongAdder> counts = new EnumMap<>(ResponseFault.class);

	/**
	 * Creates a record without faults.
	 */
	public ResponseFaults() {
		for (ResponseFault fault : ResponseFault.values()) {
			this.counts.put(fault, new LongAdder());
		}
	}

	/**
	 * Records a malformed response.
	 * @param connection the open connection that it was received on
	 * @param malformed what is wrong with it
	 */
	public void record(Channel connection, MalformedResponseException malformed) {
		this.counts.get(malformed.fault()).increment();
		EventLog.log(Event.RESPONSE_MALFORMED, "server", connection.remoteAddress(), "fault", malformed.fault(),
				"reason", malformed.getMessage());
	}

	/**
	 * Returns how often a fault was recorded.
	 * @param fault the fault
	 * @return the number of responses
	 */
	public long count(ResponseFault fault) {
		return this.counts.get(fault).sum();
	}

	/**
	 * Registers a counter for each fault.
	 * @param registry the registry to register them with
	 * @param client what the client calls, for example {@code servers}
	 */
	public void registerMeters(MeterRegistry registry, String client) {
		this.counts
			.forEach((fault, count) -> FunctionCounter.builder("snowwind.responses.malformed", count, LongAdder::sum)
				.tag("client", client)
				.tag("fault", fault.name().toLowerCase(Locale.ROOT))
				.register(registry));
	}

}
