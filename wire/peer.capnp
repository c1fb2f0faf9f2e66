# Messages between routers. Regenerate with `capnp compile -oc++ wire/peer.capnp`; the generated files are committed.
@0xb8f2a3c95d1e7046;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("galenafold::wire");

# Sent by UDP in the packed encoding; delivery is lossy, and only the newest beacon counts. Carries either load lists,
# which are parallel (one entry per endpoint), or one start notice.
struct LoadBeacon {
  from @0 :UInt32;         # identifies the sender: hash of its VM name, or its IPv4 address
  number @1 :UInt32;       # sequence number; may wrap
  endpoints @2 :List(UInt32);
  totals @3 :List(UInt8);
  longLanes @4 :List(UInt8);
  startedAt @5 :UInt32;    # hash of the endpoint at which a call has just started; 0: not a start notice
  lastsMillis @6 :UInt16;  # expected duration of that call; 0: a call announced earlier has ended ahead of time
  isLong @7 :Bool;
  peers @8 :List(UInt32);  # IPv4 addresses of the routers that the sender hears, for peer discovery
  slowdowns @10 :List(UInt8);  # empty, or newly reported service time per endpoint, in 1/16 of the usual one; 0: none
  placesUpTo @9 :UInt32;   # 0: not set; 1: the sender cannot reach the store; else 2 + the store offset
                           # up to which the sender has read the places topic
  site @11 :UInt32;        # where the sender runs, as in BeaconNews.peerSites; 0: as told before
  placesEra @12 :UInt8;    # of the store, in which placesUpTo is an offset: the lowest eight bits
}

# Follows a load beacon in the same datagram if there is any news: an empty field would cost bytes in each beacon.
struct BeaconNews {
  crashes @0 :List(CrashReport);
  answers @1 :List(PromptAge);  # answered prompts; the age is that of the latest answer
  blocks @2 :List(PromptAge);   # prompts and requests that no replica gets; the age is that of the last crash
  isStarting @3 :Bool;          # the sender has just started and wants to know of blocked prompts
  limits @4 :List(RateLimit);
  limitedSends @5 :List(LimitedSends);
  loads @7 :List(ReportedLoad); # endpoints that are fuller than the totals of all routers tell
  startId @6 :UInt32;           # differs after each start of the sender; 0: as told before
  sites @8 :List(UInt32);       # different sites of the beacon's peers: hash of the data centre in the upper 24 bits,
                                # link class in the lower 8; 0: not known
  peerSites @9 :List(UInt8);    # of the beacon's peers, in the same order: position in `sites`
  stateVersion @10 :Int64;      # 0: not told; else 1 + the version of the desired state in force at the sender
  accountWork @11 :List(AccountWork);  # replaces what the sender told before; empty: as told before
}

# What client accounts have used of a service at the sender lately.
struct AccountWork {
  service @0 :UInt32;     # hash of its id
  account @1 :UInt32;     # hash of its id; 0: all that the sender does not name, together
  perSecond @2 :Float32;  # work a second, as a multiple of the service's usual request
  accounts @3 :UInt64;    # with account 0: a bit for each account that uses the service
}

# Calls of all routers in progress at an endpoint, as it has just reported.
struct ReportedLoad { endpointHash @0 :UInt32; inProgress @1 :UInt16; }

# A rate that a replica named.
struct RateLimit {
  replica @0 :UInt32;    # hash of its id
  ageMillis @1 :UInt32;  # since the latest answer that named it
  perSecond @2 :Float32; # requests that it takes from all routers together; negative: it names no limit any more
}

# Requests that the sender has sent to a replica with a limit within the last seconds.
struct LimitedSends { replica @0 :UInt32; count @1 :UInt8; }

# A request that had no event yet, or had just begun to be answered, when its replica crashed.
struct CrashReport {
  replica @0 :UInt32;      # hash of its id and start time
  ageMillis @1 :UInt32;
  prompt @2 :UInt64;       # hash of the whole request
  parts @3 :List(UInt64);  # hashes of its prompt's shared parts, in order; empty without a prompt
  runMillis @4 :UInt32;    # from the attempt's start to the crash; 0: not told
}

struct PromptAge { key @0 :UInt64; ageMillis @1 :UInt32; }

# Sent by UDP like a beacon, after a mark that tells it from one. Streams are named by a hash of their service and of the
# request that brought their first event.
struct OriginMessage {
  told @0 :List(UInt64);            # streams whose origins the receiver is to keep, or has asked for
  versionPositions @1 :List(UInt8); # of these, in the same order: position in `versions`
  versions @2 :List(UInt32);        # different versions of the software: hashes of their names
  ages @3 :List(UInt8);             # of the streams in `told`, in seconds; empty: all have just begun
  asked @4 :List(UInt64);           # streams whose origin the sender wants to know
  unknown @5 :List(UInt64);         # streams that the receiver has asked for, and the sender does not know
  loading @6 :List(UInt64);         # the same, while the sender reads from the store what it does not know
}

struct ReportDigest {
  endpointHash @0 :UInt32;
  ageMillis @1 :UInt16;
  slots @2 :UInt16;
  inFlight @3 :UInt16;
  longInFlight @4 :UInt16;
}

struct LeavingMark { vm @0 :Text; incarnation @1 :UInt64; }

struct CustomerDemand { customerHash @0 :UInt32; callsPerSecond @1 :Float32; inProgress @2 :UInt16; }

struct SlowFinding { endpointHash @0 :UInt32; ratio @1 :Float32; }

struct Gossip {
  from @0 :Text;
  contractsUpTo @1 :Int64;
  reports @2 :List(ReportDigest);
  leaving @3 :List(LeavingMark);
  demand @4 :List(CustomerDemand);
  slow @5 :List(SlowFinding);
}

struct ContractRecord { offset @0 :Int64; value @1 :Text; }

struct ClaimItem {
  kind @0 :UInt8;
  key @1 :Text;
  nonce @2 :Text;
  fingerprint @3 :Text;
  windowSeconds @4 :UInt32;
  status @5 :UInt16;
  contentType @6 :Text;
  body @7 :Data;
  isBodyKept @8 :Bool;
  from @9 :Text;
}

struct ClaimAnswer {
  result @0 :UInt8;
  status @1 :UInt16;
  contentType @2 :Text;
  body @3 :Data;
  isBodyKept @4 :Bool;
}

interface Peer {
  # Sends the state of the requesting router. The response has the contract offset that the receiver has reached.
  gossip @0 (message :Gossip) -> (contractsUpTo :Int64);

  # Fetches contract records from an offset on, or a snapshot if the receiver no longer has those records.
  pull @1 (from :Text, offset :Int64) -> (records :List(ContractRecord), snapshot :Text);

  # `claim` claims an idempotency key at the router that owns its partition. `settle` records the outcome of the claim.
  claim @2 (item :ClaimItem, patienceMillis :UInt32) -> (answer :ClaimAnswer);
  settle @3 (item :ClaimItem) -> ();
}
