package org.snowwind.agent.rank;

import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.snowwind.balance.handover.OrderMessage;
import org.snowwind.balance.handover.RankGroup;
import org.snowwind.balance.handover.RankOrder;
import org.snowwind.balance.handover.RankState;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.http.client.UpstreamRequest;
import org.snowwind.http.client.WholeAnswer;
import org.snowwind.model.Json;

/**
 * The protocol of the stand-in rank group: one POST an order, the rank's state as answer.
 */
public final class HttpRankGroup implements RankGroup {

	/** The largest state of a rank, in bytes. It holds a few numbers. */
	private static final int MAX_STATE_BYTES = 64 * 1024;

	private final UpstreamClient client;

	private final String baseUrl;

	/**
	 * Creates the protocol.
	 * @param client carries the orders
	 * @param baseUrl the group's URL without a slash at its end
	 */
	public HttpRankGroup(UpstreamClient client, String baseUrl) {
		this.client = client;
		this.baseUrl = baseUrl;
	}

	@Override
	public void sendOrder(int rank, RankOrder order, Consumer<RankState> whenAnswered) {
		UpstreamRequest request = new UpstreamRequest("POST", this.baseUrl + "/v1/ranks/" + rank,
				Map.of("Content-Type", "application/json"), encode(OrderMessage.of(order)));
		WholeAnswer.collect(this.client, request, MAX_STATE_BYTES, (bytes) -> decode(bytes, whenAnswered));
	}

	private static byte[] encode(OrderMessage message) {
		try {
			return Json.MAPPER.writeValueAsBytes(message);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("numbers always serialize", ex);
		}
	}

	private static void decode(byte[] bytes, Consumer<RankState> whenAnswered) {
		try {
			whenAnswered.accept(Json.MAPPER.readValue(bytes, RankState.class));
		}
		catch (IOException ex) {
			// An answer that cannot be read is a lost one; the order is sent again.
		}
	}

}
