package org.snowwind.app.trial;

import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.operator.OperatorAnswer;
import org.snowwind.operator.OperatorClient;

/**
 * Waits, through the resource API, until declared resources are in force and not
 * degraded.
 */
public final class InForceWait {

	private static final long POLL_MILLIS = 50;

	private InForceWait() {
	}

	/**
	 * Waits.
	 * @param client calls an entry
	 * @param resources the declared resources
	 * @param timeoutMillis how long to wait, in milliseconds
	 * @return true if all are in force and not degraded
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public static boolean await(OperatorClient client, List<JsonNode> resources, long timeoutMillis)
			throws InterruptedException {
		long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		for (JsonNode resource : resources) {
			while (!inForce(client, resource)) {
				if (System.nanoTime() > untilNanos) {
					return false;
				}
				TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
			}
		}
		return true;
	}

	private static boolean inForce(OperatorClient client, JsonNode resource) {
		OperatorAnswer answer = client.get(resource.path("kind").asText(), resource.path("name").asText());
		return answer.match((done) -> holds(done.body(), "InForce") && !holds(done.body(), "Degraded"),
				(refused) -> false, (unreachable) -> false);
	}

	private static boolean holds(JsonNode resource, String type) {
		for (JsonNode condition : resource.path("conditions")) {
			if (type.equals(condition.path("type").asText())) {
				return condition.path("holds").asBoolean();
			}
		}
		return false;
	}

}
