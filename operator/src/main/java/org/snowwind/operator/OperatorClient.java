package org.snowwind.operator;

import java.io.IOException;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.http.client.JsonClient;
import org.snowwind.http.client.JsonClient.JsonAnswer;

/**
 * Calls the resource API of one entry.
 */
public final class OperatorClient implements AutoCloseable {

	private static final int OK = 200;

	private static final long CONNECT_TIMEOUT_MILLIS = 2000;

	private static final long TIMEOUT_MILLIS = 20_000;

	private final JsonClient client;

	private final String baseUrl;

	/**
	 * Creates a client.
	 * @param entryAddress the entry's operator address, {@code IP:PORT}
	 * @param token the operator token
	 */
	public OperatorClient(String entryAddress, String token) {
		this.client = new JsonClient(Map.of("Authorization", "Bearer " + token), CONNECT_TIMEOUT_MILLIS);
		this.baseUrl = "http://" + entryAddress + "/apis/v1/";
	}

	/**
	 * Applies resources.
	 * @param resources objects with kind, name and spec
	 * @param dryRun whether only to say what would happen
	 * @return the results in {@code results}
	 */
	public OperatorAnswer apply(List<JsonNode> resources, boolean dryRun) {
		return call("POST", "apply", Map.of("resources", resources, "dryRun", dryRun));
	}

	/**
	 * Lists the resources of a kind.
	 * @param kind the kind
	 * @return the resources in {@code items}
	 */
	public OperatorAnswer list(String kind) {
		return call("GET", kind, null);
	}

	/**
	 * Reads one resource.
	 * @param kind its kind
	 * @param name its name
	 * @return the resource with its status
	 */
	public OperatorAnswer get(String kind, String name) {
		return call("GET", kind + "/" + name, null);
	}

	/**
	 * Deletes one resource.
	 * @param kind its kind
	 * @param name its name
	 * @return the result in {@code results}
	 */
	public OperatorAnswer delete(String kind, String name) {
		return call("DELETE", kind + "/" + name, null);
	}

	/**
	 * Orders a server's agent to take no more work.
	 * @param server the server's name
	 * @return the agent's state
	 */
	public OperatorAnswer drain(String server) {
		return call("POST", "drain/" + server, null);
	}

	/**
	 * Reads the burn of the service levels.
	 * @return the report
	 */
	public OperatorAnswer burn() {
		return call("GET", "burn", null);
	}

	private OperatorAnswer call(String method, String path, Object body) {
		try {
			JsonAnswer answer = this.client.call(method, this.baseUrl + path, Map.of(), body, TIMEOUT_MILLIS);
			if (answer.status() == OK) {
				return new OperatorAnswer.Done(answer.body());
			}
			JsonNode error = answer.body().path("error");
			return new OperatorAnswer.Refused(error.path("code").asText("status-" + answer.status()),
					error.path("message").asText(), error.path("remedy").asText());
		}
		catch (IOException ex) {
			return new OperatorAnswer.Unreachable(String.valueOf(ex.getMessage()));
		}
	}

	@Override
	public void close() {
		this.client.close();
	}

}
