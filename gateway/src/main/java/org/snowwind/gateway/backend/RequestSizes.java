package org.snowwind.gateway.backend;

import java.util.HashMap;
import java.util.Map;

import org.snowwind.decide.choice.MemoryNeed;
import org.snowwind.gateway.table.EngineProfile;

/**
 * The sizes of the requests of each service, from which the memory that a request needs
 * follows. Confined to the event loop.
 */
public final class RequestSizes {

	/**
	 * The weight of a new request in the mean size of a service's requests. The mean
	 * follows a change of load within some tens of requests, about as many as the servers
	 * of a small service hold.
	 */
	private static final double NEW_WEIGHT = 0.05;

	private final boolean checked;

	private final Map<String, Double> meanTokens = new HashMap<>();

	/**
	 * Creates sizes without a known request.
	 * @param checked whether requests are kept from servers whose memory they exceed
	 */
	public RequestSizes(boolean checked) {
		this.checked = checked;
	}

	/**
	 * Returns the need of a request that arrives. A request that names no size counts as
	 * the usual one; one that names only a part counts as the larger of the usual size
	 * and that part.
	 * @param service the service's name
	 * @param engine the performance of the service's engines; {@code null} for a plain
	 * service
	 * @param promptTokens the number of tokens of the prompt; 0 or less if it is not
	 * known
	 * @param maxOutputTokens the maximum number of tokens to generate; 0 or less if it is
	 * not known
	 * @return the need
	 */
	public MemoryNeed recordArrival(String service, EngineProfile engine, int promptTokens, int maxOutputTokens) {
		if (!this.checked || engine == null || engine.memoryTokens() <= 0) {
			return MemoryNeed.UNCHECKED;
		}
		long namedTokens = Math.max(0L, promptTokens) + Math.max(0L, maxOutputTokens);
		boolean whole = promptTokens > 0 && maxOutputTokens > 0;
		// A request that no server runs says nothing about those that servers hold.
		if (whole && namedTokens <= engine.memoryTokens()) {
			this.meanTokens.merge(service, (double) namedTokens, (mean, tokens) -> mean + NEW_WEIGHT * (tokens - mean));
		}
		double usualTokens = this.meanTokens.getOrDefault(service,
				(double) engine.memoryTokens() / Math.max(1, engine.slots()));
		long tokens = whole ? namedTokens : Math.max(namedTokens, Math.round(usualTokens));
		return new MemoryNeed(tokens, usualTokens, engine.memoryTokens());
	}

}
