// Messages between snowwind's own processes. Generate with the Thrift compiler 0.17.0:
//   thrift --gen java:generated_annotations=suppress,private-members -out wire-generated/src/main/java wire/snowwind.thrift
namespace java org.snowwind.wire.generated

/** What an entry tells an agent with each heartbeat. */
struct EntryHeartbeat {
  1: string credential
  2: string entryName
  3: i64 entryIncarnation
  /** No attempt below this sequence number is outstanding or will be sent. */
  4: i64 sequenceFloor
}

/** What an agent tells an entry about itself. */
struct AgentReport {
  1: string agentName
  2: i64 incarnation
  3: bool draining
  4: i32 running
  5: i32 queued
  6: i32 concurrencyLimit
  7: i64 queueDelayMicros
  8: i64 configRevision
}

enum RevokeVerdict {
  /** The attempt had begun. */
  BEGAN = 0
  /** The attempt had not begun and never will. */
  NEVER_WILL_BEGIN = 1
  /** The agent has been restarted since; it cannot say. */
  CANNOT_SAY = 2
}

struct RevokeRequest {
  1: string credential
  2: i64 agentIncarnation
  3: i64 entryIncarnation
  4: i64 sequence
}

struct ConfigPush {
  1: string credential
  2: i64 revision
  3: binary document
}

/** A call carried a wrong credential or a value that is not allowed. */
exception Refused {
  1: string code
  2: string message
}

service AgentControl {
  AgentReport heartbeat(1: EntryHeartbeat heartbeat) throws (1: Refused refused)
  RevokeVerdict revoke(1: RevokeRequest request) throws (1: Refused refused)
  /** Returns the revision in force afterwards. */
  i64 configure(1: ConfigPush push) throws (1: Refused refused)
  AgentReport drain(1: string credential, 2: string reason) throws (1: Refused refused)
}

/** How far the nodes of one data centre have come. */
struct DataCentreProgress {
  1: string dataCentre
  2: i64 revision
  3: i64 ageMillis
  4: string waitsFor
}

struct PeerReport {
  1: string credential
  2: string entryName
  3: i64 incarnation
  4: string dataCentre
  5: string controlAddress
  6: bool draining
  7: i64 configRevision
  /** The lowest revision among the agents that this entry observes, and the name of that agent. */
  8: i64 agentsRevision
  9: string agentsWaitFor
  10: list<DataCentreProgress> progress
  /** Control addresses of entries that this entry knows to live. */
  11: list<string> knownEntries
  /** How long ago the sender last heard from the platform; -1 for never. */
  12: i64 platformAgeMillis
}

struct ConfigDocument {
  1: i64 revision
  2: binary document
}

service EntryControl {
  PeerReport exchange(1: PeerReport report) throws (1: Refused refused)
  /** Returns the configuration in force if it is newer than the caller's, else a document of the caller's revision. */
  ConfigDocument fetchConfig(1: string credential, 2: i64 haveRevision) throws (1: Refused refused)
}

/** The newest word of one life of a backend server on the rate that it takes from all gateways together. */
struct LimitNews {
  1: string server
  2: i64 bornMillis
  /** Requests per second; below 0 if it names none any more. */
  3: double perSecond
  4: i64 ageMillis
}

/** What is known of the evacuation of a data centre. */
struct EvacuationNews {
  1: string dataCentre
  /** The revision of the store at which it was asked for or, if it has ended, at which its end was seen. */
  2: i64 revision
  3: bool ended
}

/** What a gateway tells another one about itself. */
struct GatewayReport {
  1: string name
  2: i64 incarnation
  3: string controlAddress
  4: bool leaving
  5: i64 tableVersion
  6: i64 registryRevision
  /** Requests that the sender has at each backend server, by server id. */
  7: map<string, i32> inFlight
  /** Control addresses of gateways that the sender has heard of lately, itself left out. */
  8: list<string> knownGateways
  /** The fencing token by which the sender plans expert maps; 0 if it does not. */
  9: i64 expertFence
  /** What the sender knows of limits, the newest first; not all where there are many. */
  10: optional list<LimitNews> limits
  /** What the sender has confirmed of the store's objects. */
  11: optional list<CopyClaim> claims
  /** The sender's clock before it looked at its copies, in milliseconds since an origin of its own. */
  12: optional i64 composedMillis
  /** Whether the store does not answer the sender. */
  13: optional bool storeAway
  /** The evacuations that the sender knows of; not set if it does not look for them. */
  14: optional list<EvacuationNews> evacuations
}

/** What a gateway claims of its copy of the store's objects below a prefix. */
struct CopyClaim {
  1: string prefix
  /** The revision of a change that the copy holds. */
  2: i64 changedRevision
  /** The revision after which the sender knows of no change; not below changedRevision. */
  3: i64 coveredRevision
  /** For how long nothing has confirmed that there is no later change, in milliseconds. */
  4: i64 ageMillis
}

/** Lets the called gateway bound by its own clock when the caller's report was composed. */
struct ExchangeStamp {
  /** The incarnation of the called gateway that the caller has heard; 0 if none. */
  1: i64 incarnation
  /** composedMillis of the last answer that the caller has from it. */
  2: i64 composedMillis
  /** How long before the report was composed that answer came, in milliseconds. */
  3: i64 sinceMillis
}

/** What a gateway wants of the rate of one life of a backend server. */
struct LimitWish {
  1: string server
  2: i64 bornMillis
  /** The server's limit as far as the sender knows, in requests per second. */
  3: double limitPerSecond
  /** How much the sender could use, in requests per second. */
  4: double wantedPerSecond
  /** How much it holds now. */
  5: double heldPerSecond
  /** How many of its requests wait for a server of this service. */
  6: i32 waiting
}

struct LimitRequest {
  1: string gateway
  2: list<LimitWish> wishes
  /** For how long the sender needs a part until it surely has asked again. */
  3: i64 leaseMillis
}

/** A part of a server's rate that is for one gateway alone. */
struct LimitGrant {
  1: string server
  2: i64 bornMillis
  /** The limit of which this is a part, in requests per second. */
  3: double limitPerSecond
  4: double perSecond
  /** How many requests it may save up. */
  5: double burst
  /** Single requests beside the rate. */
  6: i32 singles
  /** For how long it stands, counted from when it was asked for. */
  7: i64 validMillis
}

enum GatewayDocument {
  /** The routes, services, keys and limits in force. */
  TABLE = 0
  /** The backend servers. */
  REGISTRY = 1
}

service GatewayControl {
  GatewayReport exchange(1: GatewayReport report, 2: ExchangeStamp stamp) throws (1: Refused refused)
  /** Returns a part of each server's rate, of which the gateway sees to the sum. */
  list<LimitGrant> requestGrants(1: LimitRequest request) throws (1: Refused refused)
  /** Returns the document that the gateway holds if it is newer than the caller's, else an empty one. */
  ConfigDocument fetchDocument(1: GatewayDocument kind, 2: i64 haveRevision) throws (1: Refused refused)
}
