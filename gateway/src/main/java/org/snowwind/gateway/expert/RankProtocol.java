package org.snowwind.gateway.expert;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.table.DocumentException;

/**
 * How ranks of one platform are asked and ordered.
 */
public interface RankProtocol {

	/**
	 * Returns where a rank tells its state.
	 * @return the path
	 */
	String reportPath();

	/**
	 * Reads a rank's state.
	 * @param document the answer
	 * @return the state
	 * @throws DocumentException if the answer is none
	 */
	RankReport report(JsonNode document) throws DocumentException;

	/**
	 * Returns where a rank tells which experts were chosen.
	 * @return the path
	 */
	String countsPath();

	/**
	 * Reads which experts were chosen.
	 * @param document the answer
	 * @return the counts
	 * @throws DocumentException if the answer has none
	 */
	RankCounts counts(JsonNode document) throws DocumentException;

	/**
	 * Returns where a rank tells which experts it holds.
	 * @return the path
	 */
	String holdingsPath();

	/**
	 * Reads which experts a rank holds in the map that it runs.
	 * @param document the answer
	 * @return the experts by set
	 * @throws DocumentException if the answer has none
	 */
	List<List<Integer>> holdings(JsonNode document) throws DocumentException;

	/**
	 * Returns where a rank takes orders.
	 * @return the path
	 */
	String orderPath();

	/**
	 * Makes the body of an order.
	 * @param order the order
	 * @param epoch the epoch of the group that it is for
	 * @param fence the fencing token of who orders
	 * @return the body
	 */
	JsonNode body(MapOrder order, long epoch, long fence);

	/**
	 * Makes the headers by which a call reaches only one run of a server.
	 * @param serverId the run
	 * @return the headers
	 */
	Map<String, String> headers(String serverId);

	/**
	 * Reads from any answer of a rank when the rank was started.
	 * @param document the answer
	 * @return the Unix milliseconds, {@link BackendIncarnation#UNKNOWN} if it does not
	 * say
	 * @throws DocumentException if it says something that is no such number
	 */
	long bornMillis(JsonNode document) throws DocumentException;

	/**
	 * Reads what became of an order.
	 * @param status the HTTP status of the answer
	 * @return the result
	 */
	OrderResult result(int status);

	/**
	 * Reads what a rank announces about its near future in the head of any response.
	 * @param status the HTTP status
	 * @param headers its headers by lower-case name
	 * @return what it says
	 */
	ServerNotice notice(int status, Map<String, String> headers);

}
