package org.snowwind.model.resource;

import java.util.List;

/**
 * An organisation and its limits.
 *
 * @param keyDigests SHA-256 digests of its keys in lower-case hexadecimal; two during a
 * rotation
 * @param weight its share of a contended server, relative to the others' weights
 * @param requestsPerSecond its rate over all entries
 * @param burstRequests how many requests it may send at once
 * @param maxOpenRequests how many requests it may have open at one entry
 * @param maxBodyBytes the largest request body, in bytes
 * @param serviceLevel what it is promised
 */
public record OrganisationSpec(List<String> keyDigests, double weight, double requestsPerSecond, int burstRequests,
		int maxOpenRequests, int maxBodyBytes, ServiceLevel serviceLevel) implements ResourceSpec {

	private static final double DEFAULT_WEIGHT = 1;

	private static final double DEFAULT_REQUESTS_PER_SECOND = 100;

	private static final int DEFAULT_BURST_REQUESTS = 200;

	private static final int DEFAULT_OPEN_REQUESTS = 500;

	private static final int DEFAULT_BODY_BYTES = 1 << 20;

	/**
	 * Fills absent fields with their defaults.
	 */
	public OrganisationSpec {
		keyDigests = (keyDigests != null) ? List.copyOf(keyDigests) : List.of();
		weight = (weight != 0) ? weight : DEFAULT_WEIGHT;
		requestsPerSecond = (requestsPerSecond != 0) ? requestsPerSecond : DEFAULT_REQUESTS_PER_SECOND;
		burstRequests = (burstRequests != 0) ? burstRequests : DEFAULT_BURST_REQUESTS;
		maxOpenRequests = (maxOpenRequests != 0) ? maxOpenRequests : DEFAULT_OPEN_REQUESTS;
		maxBodyBytes = (maxBodyBytes != 0) ? maxBodyBytes : DEFAULT_BODY_BYTES;
		serviceLevel = (serviceLevel != null) ? serviceLevel : ServiceLevel.DEFAULT;
	}

	/**
	 * Creates an organisation with the default service level.
	 * @param keyDigests the digests of its keys
	 * @param weight its share of a contended server
	 * @param requestsPerSecond its rate over all entries
	 * @param burstRequests how many requests it may send at once
	 * @param maxOpenRequests how many requests it may have open at one entry
	 * @param maxBodyBytes the largest request body, in bytes
	 */
	public OrganisationSpec(List<String> keyDigests, double weight, double requestsPerSecond, int burstRequests,
			int maxOpenRequests, int maxBodyBytes) {
		this(keyDigests, weight, requestsPerSecond, burstRequests, maxOpenRequests, maxBodyBytes, null);
	}

}
