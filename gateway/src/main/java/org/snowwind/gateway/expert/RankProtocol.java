package org.snowwind.gateway.expert;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.table.DocumentException;

/**
 * The protocol of the ranks of a platform.
 */
public interface RankProtocol {

	/**
	 * Returns the path of a rank's state.
	 * @return the path
	 */
	String reportPath();

	/**
	 * Reads a rank's state.
	 * @param document the answer
	 * @return the state
	 * @throws DocumentException if the answer is not a report
	 */
	RankReport report(JsonNode document) throws DocumentException;

	/**
	 * Returns the path of a rank's expert counts.
	 * @return the path
	 */
	String countsPath();

	/**
	 * Reads expert counts.
	 * @param document the answer
	 * @return the counts
	 * @throws DocumentException if the answer has none
	 */
	RankCounts counts(JsonNode document) throws DocumentException;

	/**
	 * Returns the path of the experts that a rank holds.
	 * @return the path
	 */
	String holdingsPath();

	/**
	 * Reads the experts that a rank holds in its current map.
	 * @param document the answer
	 * @return the experts by set
	 * @throws DocumentException if the answer has none
	 */
	List<List<Integer>> holdings(JsonNode document) throws DocumentException;

	/**
	 * Returns the path for orders.
	 * @return the path
	 */
	String orderPath();

	/**
	 * Creates the body of an order.
	 * @param order the order
	 * @param epoch the epoch of the group
	 * @param fence the fencing token of this gateway
	 * @return the body
	 */
	JsonNode body(MapOrder order, long epoch, long fence);

	/**
	 * Creates the headers that restrict a call to one incarnation of a server.
	 * @param serverId the server's id
	 * @return the headers
	 */
	Map<String, String> headers(String serverId);

	/**
	 * Reads the start time of a rank from any answer.
	 * @param document the answer
	 * @return the Unix time in milliseconds, {@link BackendIncarnation#UNKNOWN} if there
	 * is none
	 * @throws DocumentException if the start time is not a positive integer
	 */
	long bornMillis(JsonNode document) throws DocumentException;

	/**
	 * Reads the result of an order.
	 * @param status the HTTP status of the answer
	 * @return the result
	 */
	OrderResult result(int status);

	/**
	 * Reads the announcements in the head of any response of a rank.
	 * @param status the HTTP status
	 * @param headers its headers by lower-case name
	 * @return the announcements
	 */
	ServerNotice notice(int status, Map<String, String> headers);

}
