package org.snowwind.model.event;

import java.util.logging.Level;

/**
 * The numbered events; {@code docs/events.md} explains each.
 */
public enum Event {

	/** An entry serves. */
	ENTRY_STARTED(1001, Level.INFO, "entry serves"),

	/** An entry stops taking requests. */
	ENTRY_DRAINING(1002, Level.INFO, "entry drains"),

	/** An entry has stopped. */
	ENTRY_STOPPED(1003, Level.INFO, "entry stopped"),

	/** An agent serves. */
	AGENT_STARTED(1101, Level.INFO, "agent serves"),

	/** An agent refuses new work. */
	AGENT_DRAINING(1102, Level.INFO, "agent drains"),

	/** An agent has stopped. */
	AGENT_STOPPED(1103, Level.INFO, "agent stopped"),

	/** Work was still running when the drain bound passed. */
	DRAIN_BOUND_PASSED(1104, Level.WARNING, "work cut off at the drain bound"),

	/** A newer configuration is in force in this process. */
	CONFIG_APPLIED(2001, Level.INFO, "configuration applied"),

	/** An object in the platform is not valid; the last good one stays. */
	CONFIG_REJECTED(2002, Level.WARNING, "object rejected, last good one stays in force"),

	/** An older configuration was offered and ignored. */
	CONFIG_STALE_IGNORED(2003, Level.INFO, "older configuration ignored"),

	/** A restored store lacks resources that stay in force. */
	CONFIG_KEPT(2007, Level.WARNING, "resources kept that the store has lost"),

	/** A newer route table is in force in this process. */
	TABLE_APPLIED(2004, Level.INFO, "route table applied"),

	/** A route table cannot be read; the last good one stays. */
	TABLE_REJECTED(2005, Level.WARNING, "route table rejected, last good one stays in force"),

	/** A peer has had a newer route table for some time. */
	TABLE_BEHIND(2006, Level.WARNING, "route table older than a peer's"),

	/** An organisation cannot send requests, or not with all its keys. */
	ORGANISATION_UNUSABLE(2008, Level.WARNING, "organisation or key unusable"),

	/** The platform did not answer. */
	PLATFORM_AWAY(2101, Level.WARNING, "platform away, serving from memory"),

	/** The platform answers again. */
	PLATFORM_BACK(2102, Level.INFO, "platform back"),

	/** The watch had a gap and everything was listed again. */
	WATCH_GAP(2103, Level.INFO, "watch gap, listed again"),

	/** This entry opened its own watch. */
	RELAY_TAKEN(2104, Level.INFO, "relay duty taken"),

	/** This entry closed its own watch. */
	RELAY_LEFT(2105, Level.INFO, "relay duty left"),

	/** The servers were listed again after the store was restored from an older copy. */
	REGISTRY_RESTORED(2107, Level.INFO, "servers listed from a restored store"),

	/** The store was restored from an older copy. */
	STORE_ERA_CHANGED(2106, Level.WARNING, "store restored from an older copy"),

	/** A data centre is evacuated. */
	EVACUATION_BEGAN(2201, Level.WARNING, "evacuation began"),

	/** A data centre is no longer evacuated. */
	EVACUATION_ENDED(2202, Level.INFO, "evacuation ended"),

	/** An evacuation has unknown fields or cannot be read. */
	EVACUATION_UNREADABLE(2203, Level.WARNING, "evacuation not understood"),

	/** The servers of a data centre get no new requests, or get them again. */
	EVACUATION_APPLIED(2204, Level.INFO, "evacuated servers changed"),

	/** Evacuations were listed from a restored store. */
	EVACUATIONS_RESTORED(2205, Level.INFO, "evacuations listed from a restored store"),

	/** A server is no longer offered work. */
	SERVER_SUSPECTED(3001, Level.WARNING, "server suspected"),

	/** A suspected server answers again. */
	SERVER_TRUSTED(3002, Level.INFO, "server trusted"),

	/** A server was restarted. */
	SERVER_RESTARTED(3003, Level.INFO, "server has a new incarnation"),

	/** The platform's entry of a server cannot be read. */
	SERVER_UNREADABLE(3004, Level.WARNING, "server entry unreadable, left out"),

	/** A server was registered. */
	SERVER_ADDED(3005, Level.INFO, "server registered"),

	/** A server takes no new work. */
	SERVER_DRAINING(3006, Level.INFO, "server takes no new work"),

	/** A server is no longer registered. */
	SERVER_REMOVED(3007, Level.INFO, "server removed"),

	/** The registry shows a server as ready that was seen leaving. */
	SERVER_OLDER_ENTRY(3021, Level.INFO, "older entry of a leaving server ignored"),

	/** A server is left out for a while because its answers failed. */
	SERVER_EJECTED(3008, Level.WARNING, "server ejected"),

	/** An ejected server is offered work again. */
	SERVER_RETURNED(3009, Level.INFO, "ejected server offered work again"),

	/** A peer entry is suspected. */
	PEER_SUSPECTED(3101, Level.WARNING, "peer entry suspected"),

	/** This process stood still, so that the silence of others says nothing. */
	OWN_STALL(3106, Level.WARNING, "process stood still"),

	/** The VM of this process was suspended, so that timers run late. */
	OWN_SUSPENSION(3107, Level.WARNING, "VM was suspended"),

	/** A peer entry answers again. */
	PEER_TRUSTED(3102, Level.INFO, "peer entry trusted"),

	/** The registry of servers was taken from a peer. */
	REGISTRY_FROM_PEER(3103, Level.INFO, "server registry taken from a peer"),

	/** A peer did not give a document. */
	PEER_FETCH_FAILED(3104, Level.INFO, "document not fetched from peer"),

	/** The report of a peer was larger than reports may be, or from a peer too many. */
	PEER_REPORT_REFUSED(3108, Level.WARNING, "peer report refused"),

	/** This gateway registered itself, or could not. */
	GATEWAY_REGISTERED(3105, Level.INFO, "gateway registered"),

	/** A request ended with an unknown outcome. */
	OUTCOME_UNKNOWN(4001, Level.WARNING, "outcome unknown"),

	/** A stream was resumed at its offset. */
	STREAM_RESUMED(4002, Level.INFO, "stream resumed"),

	/** A request was read and its route found. */
	REQUEST_ROUTED(4101, Level.INFO, "request routed"),

	/** A request was sent to a server. */
	REQUEST_SENT(4102, Level.INFO, "request sent"),

	/** An attempt at a server ended. */
	ATTEMPT_ENDED(4103, Level.INFO, "attempt ended"),

	/** A request was answered or ended otherwise. */
	REQUEST_ENDED(4104, Level.INFO, "request ended"),

	/** No server had room for a request in time. */
	REQUEST_TURNED_AWAY(4106, Level.INFO, "request turned away"),

	/** An answer was ended because it, or all answers together, held too many bytes. */
	ANSWER_OVER_MEMORY(4118, Level.WARNING, "answer ended for memory"),

	/** An attempt did not answer its request, and it was decided what to do next. */
	NEXT_STEP_DECIDED(4107, Level.INFO, "next step decided"),

	/** An attempt has been silent for longer than its limit. */
	ATTEMPT_SILENT(4119, Level.INFO, "attempt silent"),

	/** Another attempt of the request has answered in place of this one. */
	ATTEMPT_REPLACED(4120, Level.INFO, "attempt replaced"),

	/** A server may have run a request, and broke off. */
	ATTEMPT_BROKE(4108, Level.INFO, "attempt broke"),

	/** A request was not sent since it ends the servers that run it. */
	BLAMED_REQUEST_REFUSED(4109, Level.INFO, "request that ends servers refused"),

	/** A request is to blame for the ends of servers from now on. */
	REQUEST_BLAMED(4110, Level.WARNING, "request ends servers"),

	/** A request is no longer to blame for ends of servers. */
	REQUEST_RELEASED(4111, Level.WARNING, "request no longer blamed"),

	/** A request under which servers had ended was answered. */
	SUSPECT_CLEARED(4112, Level.INFO, "suspected request answered"),

	/** Requests with a part in their prompts end servers and are refused from now on. */
	PART_BLAMED(4114, Level.WARNING, "prompt part ends servers"),

	/** A part of prompts is no longer to blame for ends of servers. */
	PART_RELEASED(4115, Level.WARNING, "prompt part no longer blamed"),

	/** An answer to a request with a suspected part was written down for all. */
	PART_ANSWERED(4116, Level.INFO, "suspected prompt part answered"),

	/** A request was rejected while another one shows whether a part ends servers. */
	PART_HELD_BACK(4117, Level.INFO, "request with suspected prompt part held back"),

	/** What this gateway knows of suspected requests was written down for all. */
	SUSPECTS_WRITTEN(4113, Level.INFO, "suspected requests written down"),

	/** A server's process ended while a request was there. */
	SERVER_ENDED(3012, Level.WARNING, "server ended under a request"),

	/** A server that was taken for ended answers. */
	SERVER_LIVES(3013, Level.INFO, "server did not end after all"),

	/** A server names a rate that it takes from all processes together. */
	SERVER_LIMIT_NAMED(3014, Level.WARNING, "server takes a limited rate"),

	/** A server names no such rate any more. */
	SERVER_LIMIT_ENDED(3015, Level.INFO, "server takes any rate again"),

	/** This gateway got a part of a limited server's rate, or has none any more. */
	LIMIT_PART_CHANGED(3017, Level.INFO, "part of a limited rate"),

	/** A server names something that is no rate. */
	SERVER_LIMIT_UNREADABLE(3016, Level.WARNING, "server names an unreadable limit"),

	/** A server wants no requests from this gateway for some time, or for longer. */
	SERVER_BACKOFF_STARTED(3018, Level.WARNING, "server backoff started"),

	/** A server gets requests from this gateway again. */
	SERVER_BACKOFF_ENDED(3019, Level.INFO, "server backoff ended"),

	/** A server is cold and gets few requests. */
	SERVER_COLD(3031, Level.INFO, "server is cold"),

	/** A server that was cold gets any number of requests again. */
	SERVER_WARM(3032, Level.INFO, "server is warm"),

	/** The platform's entry of a server names a cold time that cannot be read. */
	SERVER_COLD_TIME_UNREADABLE(3033, Level.WARNING, "cold time of a server unreadable"),

	/** A server announces something that cannot be read. */
	SERVER_NOTICE_UNREADABLE(3020, Level.WARNING, "server notice unreadable"),

	/** A configuration names values that are no priorities. */
	PRIORITIES_OUT_OF_RANGE(4121, Level.WARNING, "priorities out of range"),

	/** A waiting request was sent before one that has waited for longer. */
	REQUEST_OVERTAKES(4122, Level.INFO, "request overtakes"),

	/** A request was refused before anything was sent. */
	REQUEST_REFUSED(4105, Level.INFO, "request refused"),

	/** A gateway serves. */
	GATEWAY_STARTED(1201, Level.INFO, "gateway serves"),

	/** A gateway stops taking requests. */
	GATEWAY_DRAINING(1202, Level.INFO, "gateway drains"),

	/** A gateway has stopped. */
	GATEWAY_STOPPED(1203, Level.INFO, "gateway stopped"),

	/** A gateway is ready, or no longer. */
	GATEWAY_READINESS(1204, Level.INFO, "gateway readiness changed"),

	/** The settings were read again. */
	SETTINGS_RELOADED(1205, Level.INFO, "settings reloaded"),

	/** The settings that were read again are not valid. */
	SETTINGS_REJECTED(1206, Level.WARNING, "settings rejected, last good ones stay in force"),

	/** A request came in while the gateway stopped, and was taken. */
	TAKEN_IN_STOP(1207, Level.INFO, "request taken in a stop"),

	/** A request was still open at the end of a stop. */
	CUT_OFF_IN_STOP(1208, Level.WARNING, "request ended by a stop"),

	/** Connections without a request are closed in a stop. */
	CONNECTIONS_CLOSING(1209, Level.INFO, "idle connections closed in a stop"),

	/** A request came in while the gateway stopped, too late to be taken. */
	REFUSED_IN_STOP(1210, Level.INFO, "request refused in a stop"),

	/** This gateway plans expert maps from now on. */
	EXPERT_DUTY_TAKEN(6001, Level.INFO, "expert duty taken"),

	/** This gateway no longer plans expert maps. */
	EXPERT_DUTY_LEFT(6002, Level.INFO, "expert duty left"),

	/** The duty could not be claimed in the platform. */
	EXPERT_DUTY_NOT_CLAIMED(6003, Level.INFO, "expert duty not claimed"),

	/** A rank did not answer. */
	RANK_SILENT(6101, Level.INFO, "rank silent"),

	/** A rank was given an order. */
	RANK_ORDERED(6102, Level.INFO, "rank ordered"),

	/** A group was found or formed anew. */
	GROUP_FORMED(6103, Level.INFO, "group formed"),

	/** A group is not open, or ranks of it do not answer. */
	GROUP_INCOMPLETE(6104, Level.WARNING, "group incomplete"),

	/** Which rank is in which group was written down for other gateways. */
	GROUPS_WRITTEN(6105, Level.INFO, "groups written down"),

	/** It was read which experts ranks have chosen. */
	DEMAND_READ(6106, Level.INFO, "demand read"),

	/** A new expert map was planned. */
	MAP_PLANNED(6201, Level.INFO, "expert map planned"),

	/** A group runs a new expert map. */
	MAP_SWITCHED(6202, Level.INFO, "expert map switched"),

	/** A switch was given up before anything was held. */
	MAP_SWITCH_DROPPED(6203, Level.INFO, "switch of expert map dropped"),

	/** What an earlier owner left half done was finished. */
	MAP_SWITCH_RECOVERED(6204, Level.WARNING, "left switch of expert map finished"),

	/** A group refuses or stands still; it gets nothing new but requests that ask. */
	GROUP_CLOSED(3010, Level.WARNING, "group closed"),

	/** A group that was closed answers again. */
	GROUP_OPENED(3011, Level.INFO, "group opened"),

	/** Passes of a group became much longer at once. */
	PASSES_JUMPED(6206, Level.INFO, "passes became longer at once"),

	/** Requests choose other experts than before. */
	DEMAND_MOVED(6205, Level.INFO, "demand for experts moved"),

	/** A caller's connection was closed, since more was held for callers than allowed. */
	CALLER_CLOSED_FOR_MEMORY(1301, Level.WARNING, "connection of a slow caller closed for memory"),

	/** How much may be held for all callers together. */
	HELD_BYTES_BOUNDED(1302, Level.INFO, "bytes held for callers bounded"),

	/** A caller was reset that took its answer slowly while memory was needed. */
	ANSWER_TAKEN_SLOWLY(1304, Level.WARNING, "caller that took its answer slowly was reset for memory"),

	/** A request was rejected before it was read to its end, for memory. */
	REQUEST_REJECTED_FOR_MEMORY(1303, Level.WARNING, "request rejected for memory"),

	/** A request was not sent to a server, since it does not fit into its memory. */
	SERVER_MEMORY_SHORT(3041, Level.INFO, "server left out for memory"),

	/** A request is larger than the memory of a server. */
	REQUEST_OVER_MEMORY(3042, Level.INFO, "request larger than a server's memory refused"),

	/** A server, the store or a rank sent a response that is not valid HTTP. */
	RESPONSE_MALFORMED(3043, Level.WARNING, "malformed response"),

	/** A bounded ring was full. */
	RING_FULL(5001, Level.WARNING, "ring full"),

	/** Log lines were left out because the ring of the log was full. */
	LOG_LINES_LEFT_OUT(5002, Level.WARNING, "log lines left out"),

	/** An unexpected fault. */
	INTERNAL_FAULT(9001, Level.SEVERE, "internal fault");

	private final int number;

	private final Level level;

	private final String summary;

	Event(int number, Level level, String summary) {
		this.number = number;
		this.level = level;
		this.summary = summary;
	}

	/**
	 * Returns the event's id as it is logged.
	 * @return for example {@code SW-1001}
	 */
	public String id() {
		return "SW-" + this.number;
	}

	/**
	 * Returns the level.
	 * @return the level
	 */
	public Level level() {
		return this.level;
	}

	/**
	 * Returns the summary.
	 * @return a few words
	 */
	public String summary() {
		return this.summary;
	}

}
