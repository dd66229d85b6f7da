package org.snowwind.gateway.suspect;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.model.MonotonicClock;

/**
 * Tells ends of servers from other reasons for which attempts break. Confined to the
 * loop.
 *
 * <p>
 * A reset connection, a garbled answer, a cut and a server that is full break attempts as
 * the end of its process does, but somebody goes on listening there, or nobody says
 * anything. So a server counts as ended only when its VM has refused connections twice in
 * a row, and no longer once a byte comes from that life of it after all.
 */
final class EndWatch {

	/**
	 * Between two looks, in milliseconds: a server that refuses since it is full takes a
	 * connection again within that time, one that ended is not back yet.
	 */
	static final long LOOK_AGAIN_MILLIS = 250;

	/** Bytes that were on their way when a server ended come within this time, in ms. */
	static final long ON_THE_WAY_MILLIS = 100;

	/**
	 * Attempts that were at a server which ended are noticed within this time, in
	 * milliseconds: those whose connections fell silent last.
	 */
	static final long KEEP_MILLIS = 10_000;

	/** So many servers are looked at; more that break at once tell of no request. */
	static final int MOST_CASES = 64;

	/** So many requests of one server are kept: what it can run at once and more. */
	static final int MOST_REQUESTS = 64;

	private final ProcessProbe probe;

	private final Later later;

	private final MonotonicClock clock;

	private final Listener listener;

	private final Map<BackendIncarnation, Case> cases = new LinkedHashMap<>();

	/**
	 * Creates a watch.
	 * @param probe asks whether a process is there
	 * @param later carries out what is due later
	 * @param clock tells the time
	 * @param listener is told of ends
	 */
	EndWatch(ProcessProbe probe, Later later, MonotonicClock clock, Listener listener) {
		this.probe = probe;
		this.later = later;
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Takes note that an attempt broke.
	 * @param server the server as it was registered
	 * @param request what was there
	 * @param lostConnection whether its connection ended, as with the end of its process
	 */
	void broke(BackendEntry server, Suspect request, boolean lostConnection) {
		long nowMillis = this.clock.nowMillis();
		this.cases.values().removeIf((standing) -> nowMillis - standing.brokeMillis > KEEP_MILLIS);
		Case standing = this.cases.get(server.incarnation());
		if (standing == null) {
			// What we gave up before its server ended was no longer there at the end.
			if (!lostConnection || this.cases.size() >= MOST_CASES) {
				return;
			}
			standing = new Case(server, nowMillis);
			this.cases.put(server.incarnation(), standing);
		}
		standing.add(request);
		if (lostConnection && !standing.looking && !standing.ended) {
			standing.looking = true;
			look(standing, 1, false);
		}
	}

	private void look(Case looked, int looks, boolean refusedBefore) {
		this.probe.ask(looked.server.host(), looked.server.port(), (gone) -> {
			if (this.cases.get(looked.server.incarnation()) != looked) {
				return;
			}
			if (gone && refusedBefore) {
				looked.ended = true;
				looked.tell();
			}
			else if (gone || looks == 1) {
				this.later.after(LOOK_AGAIN_MILLIS, () -> look(looked, looks + 1, gone));
			}
			else {
				this.cases.remove(looked.server.incarnation());
			}
		});
	}

	/**
	 * Takes note of a byte of a server: that life of it has not ended.
	 * @param server which life
	 */
	void heard(BackendIncarnation server) {
		if (this.cases.isEmpty()) {
			return;
		}
		Case standing = this.cases.get(server);
		if (standing != null && this.clock.nowMillis() - standing.brokeMillis > ON_THE_WAY_MILLIS) {
			this.cases.remove(server);
			if (standing.ended) {
				this.listener.lives(server);
			}
		}
	}

	/**
	 * Carries out what is due later.
	 */
	@FunctionalInterface
	interface Later {

		/**
		 * Carries out some work on the loop.
		 * @param millis in how long, in milliseconds
		 * @param work the work
		 */
		void after(long millis, Runnable work);

	}

	/**
	 * Is told of ends.
	 */
	interface Listener {

		/**
		 * A server ended while a request was there.
		 * @param server the server
		 * @param request the request
		 */
		void ended(BackendEntry server, Suspect request);

		/**
		 * A server that was told to have ended has not.
		 * @param server which life
		 */
		void lives(BackendIncarnation server);

	}

	/**
	 * What broke at one life of a server.
	 */
	private final class Case {

		private final BackendEntry server;

		private final long brokeMillis;

		private final Map<String, Suspect> untold = new LinkedHashMap<>();

		private boolean looking;

		private boolean ended;

		private Case(BackendEntry server, long brokeMillis) {
			this.server = server;
			this.brokeMillis = brokeMillis;
		}

		private void add(Suspect request) {
			if (this.untold.size() < MOST_REQUESTS) {
				this.untold.put(request.digest(), request);
			}
			if (this.ended) {
				tell();
			}
		}

		private void tell() {
			BiConsumer<BackendEntry, Suspect> told = EndWatch.this.listener::ended;
			this.untold.values().forEach((request) -> told.accept(this.server, request));
			this.untold.clear();
		}

	}

}
