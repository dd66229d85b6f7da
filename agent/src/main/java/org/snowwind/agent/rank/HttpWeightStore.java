package org.snowwind.agent.rank;

import java.util.Map;

import org.snowwind.http.client.UpstreamClient;
import org.snowwind.http.client.UpstreamRequest;
import org.snowwind.http.client.WholeAnswer;

/**
 * The weight store as the stand-in serves it.
 */
public final class HttpWeightStore implements WeightStore {

	/** The largest answer of the stand-in, in bytes. It sends no weights. */
	private static final int MAX_ANSWER_BYTES = 64 * 1024;

	private final UpstreamClient client;

	private final String baseUrl;

	/**
	 * Creates a client.
	 * @param client carries the calls
	 * @param baseUrl the store's URL without a slash at its end
	 */
	public HttpWeightStore(UpstreamClient client, String baseUrl) {
		this.client = client;
		this.baseUrl = baseUrl;
	}

	@Override
	public void load(int layer, int expert, Runnable whenLoaded) {
		String url = this.baseUrl + "/v1/weights/" + layer + "/" + expert;
		WholeAnswer.collect(this.client, new UpstreamRequest("GET", url, Map.of(), new byte[0]), MAX_ANSWER_BYTES,
				(bytes) -> whenLoaded.run());
	}

}
