package org.snowwind.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.http.client.JsonClient;

/**
 * Reads the VM list of the stand-in platform.
 */
public final class HttpVmList implements VmList {

	private final JsonClient client;

	private final String baseUrl;

	private final long timeoutMillis;

	/**
	 * Creates a client.
	 * @param client the client for the calls
	 * @param baseUrl the platform's URL without a trailing slash
	 * @param timeoutMillis the timeout of a call, in milliseconds
	 */
	public HttpVmList(JsonClient client, String baseUrl, long timeoutMillis) {
		this.client = client;
		this.baseUrl = baseUrl;
		this.timeoutMillis = timeoutMillis;
	}

	@Override
	public List<Vm> read() {
		try {
			JsonNode body = this.client.call("GET", this.baseUrl + "/v1/vms", Map.of(), null, this.timeoutMillis)
				.body();
			List<Vm> vms = new ArrayList<>();
			body.path("vms").forEach((node) -> vms.add(vmOf(node)));
			return List.copyOf(vms);
		}
		catch (IOException ex) {
			return List.of();
		}
	}

	private static Vm vmOf(JsonNode node) {
		return new Vm(node.path("name").asText(), node.path("role").asText(), node.path("dataCentre").asText(),
				node.path("controlAddress").asText(), node.path("leaving").asBoolean());
	}

}
