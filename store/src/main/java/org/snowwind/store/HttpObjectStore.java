package org.snowwind.store;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.http.client.JsonClient;
import org.snowwind.http.client.JsonClient.JsonAnswer;

/**
 * Implements the object API of the stand-in platform, which is JSON over HTTP.
 */
public final class HttpObjectStore implements ObjectStore {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int GONE = 410;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final String EXPECTED = "X-Expected-Revision";

	/** The time that a watch may take beyond its wait. */
	private static final long WATCH_MARGIN_MILLIS = 2000;

	private final JsonClient client;

	private final String baseUrl;

	private final long timeoutMillis;

	/**
	 * Creates a client.
	 * @param client the client for the calls
	 * @param baseUrl the platform's URL without a trailing slash
	 * @param timeoutMillis the timeout of a call, in milliseconds
	 */
	public HttpObjectStore(JsonClient client, String baseUrl, long timeoutMillis) {
		this.client = client;
		this.baseUrl = baseUrl;
		this.timeoutMillis = timeoutMillis;
	}

	@Override
	public ListResult list(String prefix) {
		try {
			JsonAnswer answer = call("GET", "/v1/objects?prefix=" + encode(prefix), Map.of(), null, this.timeoutMillis);
			if (answer.status() != OK) {
				return new ListResult.Away("status " + answer.status());
			}
			long revision = answer.body().path("revision").asLong();
			return new ListResult.Listed(revision, objectsOf(answer.body().path("objects")));
		}
		catch (IOException ex) {
			return new ListResult.Away(reasonOf(ex));
		}
	}

	@Override
	public GetResult get(String key) {
		try {
			JsonAnswer answer = call("GET", objectPath(key), Map.of(), null, this.timeoutMillis);
			if (answer.status() == NOT_FOUND) {
				return new GetResult.Absent();
			}
			if (answer.status() != OK) {
				return new GetResult.Away("status " + answer.status());
			}
			return new GetResult.Found(objectOf(answer.body()));
		}
		catch (IOException ex) {
			return new GetResult.Away(reasonOf(ex));
		}
	}

	@Override
	public WriteResult put(String key, long expectedRevision, JsonNode value) {
		return write("PUT", key, expectedRevision, value);
	}

	@Override
	public WriteResult delete(String key, long expectedRevision) {
		return write("DELETE", key, expectedRevision, null);
	}

	private WriteResult write(String method, String key, long expectedRevision, JsonNode value) {
		try {
			Map<String, String> headers = Map.of(EXPECTED, Long.toString(expectedRevision));
			JsonAnswer answer = call(method, objectPath(key), headers, value, this.timeoutMillis);
			long revision = answer.body().path("revision").asLong();
			return switch (answer.status()) {
				case OK -> new WriteResult.Written(revision);
				case CONFLICT, NOT_FOUND -> new WriteResult.Conflict(revision);
				case TOO_MANY_REQUESTS -> new WriteResult.NotWritten("the platform's rate limit");
				default -> new WriteResult.Uncertain("status " + answer.status());
			};
		}
		catch (IOException ex) {
			return new WriteResult.Uncertain(reasonOf(ex));
		}
	}

	@Override
	public WatchResult watch(String prefix, long afterRevision, long waitMillis) {
		String path = "/v1/watch?prefix=" + encode(prefix) + "&after=" + afterRevision + "&waitMillis=" + waitMillis;
		try {
			JsonAnswer answer = call("GET", path, Map.of(), null, waitMillis + WATCH_MARGIN_MILLIS);
			if (answer.status() == GONE) {
				return new WatchResult.Gap();
			}
			if (answer.status() != OK) {
				return new WatchResult.Away("status " + answer.status());
			}
			List<StoredObject> objects = objectsOf(answer.body().path("objects"));
			return new WatchResult.Changes(objects, lastRevision(objects, afterRevision));
		}
		catch (IOException ex) {
			return new WatchResult.Away(reasonOf(ex));
		}
	}

	private static long lastRevision(List<StoredObject> objects, long afterRevision) {
		return objects.stream().mapToLong(StoredObject::revision).reduce(afterRevision, Math::max);
	}

	private JsonAnswer call(String method, String path, Map<String, String> headers, Object body, long waitMillis)
			throws IOException {
		return this.client.call(method, this.baseUrl + path, headers, body, waitMillis);
	}

	private static String objectPath(String key) {
		return "/v1/objects/" + encode(key);
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

	private static String reasonOf(IOException cause) {
		return String.valueOf(cause.getMessage());
	}

	private static List<StoredObject> objectsOf(JsonNode array) {
		List<StoredObject> objects = new ArrayList<>();
		array.forEach((node) -> objects.add(objectOf(node)));
		return List.copyOf(objects);
	}

	private static StoredObject objectOf(JsonNode node) {
		return new StoredObject(node.path("key").asText(), node.path("revision").asLong(), node.get("value"));
	}

}
