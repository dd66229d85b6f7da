package org.snowwind.gateway;

import java.util.function.BooleanSupplier;

import org.snowwind.gateway.backend.BackendTable;
import org.snowwind.gateway.registry.RegistryHolder;
import org.snowwind.gateway.table.TableHolder;
import org.snowwind.http.admin.AdminServer;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.Responses;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Decides whether a gateway is ready for new connections: it has a configuration, knows a
 * server that accepts new work, and is not draining. Confined to the event loop.
 */
final class GatewayReadiness {

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private final TableHolder tables;

	private final RegistryHolder registries;

	private final BackendTable backends;

	private final BooleanSupplier evacuationsKnown;

	private final BooleanSupplier draining;

	private boolean ready;

	/**
	 * Creates the readiness of a gateway, which is not ready.
	 * @param tables the route table in force
	 * @param registries the registered servers
	 * @param backends the servers and their state
	 * @param evacuationsKnown whether it is known which data centres are evacuated
	 * @param draining whether the gateway accepts no new connections
	 */
	GatewayReadiness(TableHolder tables, RegistryHolder registries, BackendTable backends,
			BooleanSupplier evacuationsKnown, BooleanSupplier draining) {
		this.tables = tables;
		this.registries = registries;
		this.backends = backends;
		this.evacuationsKnown = evacuationsKnown;
		this.draining = draining;
	}

	private boolean isReady() {
		boolean nowReady = !this.draining.getAsBoolean() && this.tables.current().version() > 0
				&& this.evacuationsKnown.getAsBoolean()
				&& this.backends.anyInService(this.tables.current().services().keySet());
		if (nowReady != this.ready) {
			this.ready = nowReady;
			EventLog.log(Event.GATEWAY_READINESS, "ready", nowReady, "draining", this.draining.getAsBoolean(), "table",
					this.tables.current().version(), "registry", this.registries.current().revision());
		}
		return nowReady;
	}

	/**
	 * Answers the readiness check of the load balancer.
	 * @param exchange the request
	 */
	void answer(HttpExchange exchange) {
		boolean nowReady = isReady();
		Responses.text(exchange, nowReady ? OK : UNAVAILABLE, nowReady ? "ready\n" : "not ready\n");
	}

	/**
	 * Returns the readiness for operators.
	 * @return the readiness, with the reason if the gateway is not ready
	 */
	AdminServer.Readiness admin() {
		return isReady() ? AdminServer.Readiness.READY : new AdminServer.Readiness(false,
				this.draining.getAsBoolean() ? "draining" : "no configuration or no server known");
	}

}
