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
import org.snowwind.model.EraRevision;

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

	/** The header, in lower case, with the era of the store. */
	private static final String ERA = "x-store-era";

	/** The time that a watch may take beyond its wait. */
	private static final long WATCH_MARGIN_MILLIS = 2000;

	private final JsonClient client;

	private final String baseUrl;

	private final long timeoutMillis;

	private final StoreEra era = new StoreEra();

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
			long seenEra = eraOf(answer);
			EraRevision revision = new EraRevision(seenEra, answer.body().path("revision").asLong());
			return new ListResult.Listed(revision, objectsOf(seenEra, answer.body().path("objects")));
		}
		catch (IOException | IllegalArgumentException ex) {
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
			return new GetResult.Found(objectOf(eraOf(answer), answer.body()));
		}
		catch (IOException | IllegalArgumentException ex) {
			return new GetResult.Away(reasonOf(ex));
		}
	}

	@Override
	public WriteResult put(String key, EraRevision expectedRevision, JsonNode value) {
		return write("PUT", key, expectedRevision, value);
	}

	@Override
	public WriteResult delete(String key, EraRevision expectedRevision) {
		return write("DELETE", key, expectedRevision, null);
	}

	private WriteResult write(String method, String key, EraRevision expectedRevision, JsonNode value) {
		if (StaleWrites.isStale(expectedRevision, this.era)) {
			return StaleWrites.conflict(get(key));
		}
		try {
			Map<String, String> headers = Map.of(EXPECTED, Long.toString(expectedRevision.number()));
			JsonAnswer answer = call(method, objectPath(key), headers, value, this.timeoutMillis);
			EraRevision revision = new EraRevision(eraOf(answer), answer.body().path("revision").asLong());
			return switch (answer.status()) {
				case OK -> StaleWrites.written(expectedRevision, revision);
				case CONFLICT, NOT_FOUND -> StaleWrites.conflict(revision);
				case TOO_MANY_REQUESTS -> new WriteResult.NotWritten("the platform's rate limit");
				default -> new WriteResult.Uncertain("status " + answer.status());
			};
		}
		catch (IOException | IllegalArgumentException ex) {
			return new WriteResult.Uncertain(reasonOf(ex));
		}
	}

	@Override
	public WatchResult watch(String prefix, EraRevision afterRevision, long waitMillis) {
		String path = "/v1/watch?prefix=" + encode(prefix) + "&after=" + afterRevision.number() + "&waitMillis="
				+ waitMillis;
		try {
			JsonAnswer answer = call("GET", path, Map.of(), null, waitMillis + WATCH_MARGIN_MILLIS);
			long seenEra = eraOf(answer);
			if (answer.status() == GONE || (answer.status() == OK && seenEra != afterRevision.era())) {
				return new WatchResult.Gap();
			}
			if (answer.status() != OK) {
				return new WatchResult.Away("status " + answer.status());
			}
			List<StoredObject> objects = objectsOf(seenEra, answer.body().path("objects"));
			return new WatchResult.Changes(objects, lastRevision(objects, afterRevision));
		}
		catch (IOException | IllegalArgumentException ex) {
			return new WatchResult.Away(reasonOf(ex));
		}
	}

	private static EraRevision lastRevision(List<StoredObject> objects, EraRevision afterRevision) {
		return objects.stream().map(StoredObject::revision).reduce(afterRevision, EraRevision::newest);
	}

	private long eraOf(JsonAnswer answer) {
		return this.era.observe(answer.headers().get(ERA));
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

	private static String reasonOf(Exception cause) {
		return String.valueOf(cause.getMessage());
	}

	private static List<StoredObject> objectsOf(long era, JsonNode array) {
		List<StoredObject> objects = new ArrayList<>();
		array.forEach((node) -> objects.add(objectOf(era, node)));
		return List.copyOf(objects);
	}

	private static StoredObject objectOf(long era, JsonNode node) {
		return new StoredObject(node.path("key").asText(), new EraRevision(era, node.path("revision").asLong()),
				node.get("value"));
	}

}
