package org.snowwind.gateway.expert;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.decide.limit.AnnouncedLimit;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.model.Json;

/**
 * A protocol in which a server is named by a header and answers orders by status alone.
 */
final class FakeRankProtocol implements RankProtocol {

	static final String SERVER = "X-Server";

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private static final int WRONG_SERVER = 421;

	@Override
	public String reportPath() {
		return "/report";
	}

	@Override
	public RankReport report(JsonNode document) {
		return new RankReport("g", 1, 0, 1, true, document.path("step").asLong(), 1, 0, 0, RankReport.NOT_HELD,
				bornMillis(document));
	}

	@Override
	public String countsPath() {
		return "/counts";
	}

	@Override
	public RankCounts counts(JsonNode document) {
		return new RankCounts(1, List.of(), bornMillis(document));
	}

	@Override
	public String holdingsPath() {
		return "/holdings";
	}

	@Override
	public List<List<Integer>> holdings(JsonNode document) {
		return List.of();
	}

	@Override
	public String orderPath() {
		return "/order";
	}

	@Override
	public JsonNode body(MapOrder order, long epoch, long fence) {
		return Json.MAPPER.createObjectNode();
	}

	@Override
	public Map<String, String> headers(String serverId) {
		return Map.of(SERVER, serverId);
	}

	@Override
	public long bornMillis(JsonNode document) {
		return document.path("born").asLong();
	}

	@Override
	public OrderResult result(int status) {
		return switch (status) {
			case OK -> OrderResult.TAKEN;
			case CONFLICT -> OrderResult.UNFIT;
			case WRONG_SERVER -> OrderResult.RESTARTED;
			default -> OrderResult.UNKNOWN;
		};
	}

	@Override
	public ServerNotice notice(int status, Map<String, String> headers) {
		long retryAfterMillis = Long.parseLong(headers.getOrDefault("t-retry-after", "0"));
		return new ServerNotice(AnnouncedLimit.NONE, retryAfterMillis, headers.containsKey("t-leaving"), "");
	}

}
