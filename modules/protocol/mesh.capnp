@0xb8d1f2a7c3e45960;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("citrongrade::rpc");

# Messages by which the nodes of a mesh agree who leads and who owns what. Each
# travels as the body of one HTTP request or response.

struct SlotSpan {
  first @0 :UInt32;
  last @1 :UInt32;
}

# Zones whose targets operators have taken out of service.
struct Evacuations {
  # In the store's log; a higher one is newer.
  position @0 :UInt64;
  zones @1 :List(Text);
}

# Requests that ran on targets when they crashed, in columns.
struct CrashSuspects {
  # Of all the crashes below, each once.
  crashIds @0 :List(UInt64);
  fingerprint @1 :List(UInt64);
  # Time since the request's last crash.
  ageS @2 :List(UInt32);
  # How many of the entries below are the request's.
  crashCount @3 :List(UInt8);
  # Places in crashIds, from 0 on.
  crash @4 :List(UInt16);
  isCleared @5 :List(Bool);
}

# Targets that have said to their nodes that they leave, in columns.
struct Departures {
  # Hashes of the mesh addresses of their nodes; empty where that is the sender
  # or the receiver.
  node @0 :List(UInt32);
  idHash @1 :List(UInt64);
  # 0: unknown. Empty if all are.
  startedUnixMs @2 :List(Int64);
}

struct MeshHeartbeat {
  address @0 :Text;
  dataAddress @1 :Text;
  zone @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  promises @5 :Bool;
  leaderNonce @6 :UInt64;
  leaderStampNs @7 :Int64;
  epoch @8 :UInt64;
  viewVersion @9 :UInt64;
  configVersion @10 :UInt64;
  isLeaving @11 :Bool;
  storeAnswers @12 :Bool;
  isUrgent @13 :Bool;
  targetState @14 :UInt8;
  targetId @15 :Text;
  targetStartedUnixMs @16 :Int64;
  service @17 :Text;
  slots @18 :UInt32;
  coldMs @19 :UInt32;
  released @20 :List(Released);
  # Slot and count by turns.
  arrivals @21 :List(UInt32);
  meanWorkUs @22 :UInt32;
  # Crashes without ids travelled in it once.
  obsoleteCrashSuspects @23 :List(UInt64);
  # Long documents travelled in heartbeats once.
  obsoleteConfigDocument @24 :Data;
  leaderMeritMilli @25 :UInt32;
  obsoleteStoreFailed @26 :Bool;
  configFetchFailed @27 :Bool;
  configAgeMs @28 :UInt32;
  isFetchingConfig @29 :Bool;
  evacuations @30 :Evacuations;
  coldRequestsPerSecond @31 :Float64;
  namedRequestsPerSecond @32 :Float64;
  # 95th percentile of the run times of the longest sharded route; 0: unknown.
  longRunUs @33 :UInt32;
  # Requests per second that the target can serve, by a slow estimate; 0:
  # unknown.
  capacityRps @34 :Float64;
  # Changes at the node from one version to another of what it knows.
  crashSuspects @35 :CrashSuspects;
  crashReportsSince @36 :UInt64;
  crashReportVersion @37 :UInt64;
  # The leader's version that the node has merged; 0: none.
  crashLedgerVersion @38 :UInt64;
  # Targets that leave and are not known to be stored, ids that have been taken
  # by new processes, and the version of the leader's last reply.
  departures @39 :Departures;
  retractedDepartures @40 :List(UInt64);
  departuresVersion @41 :UInt64;
  hasEarlierGrants @42 :Bool;

  struct Released {
    service @0 :Text;
    range @1 :SlotSpan;
    fence @2 :UInt64;
    handover @3 :Text;
  }
}

struct MeshMemberEntry {
  address @0 :Text;
  dataAddress @1 :Text;
  zone @2 :Text;
  service @3 :Text;
  targetId @4 :Text;
  targetStartedUnixMs @5 :Int64;
  slots @6 :UInt32;
  state @7 :UInt8;
  leaderMeritMilli @8 :UInt32;
}

struct MeshOwnedRun {
  service @0 :Text;
  range @1 :SlotSpan;
  owner @2 :Text;
  targetId @3 :Text;
  targetStartedUnixMs @4 :Int64;
  fence @5 :UInt64;
  handover @6 :Text;
  version @7 :UInt64;
  # To whom they go; an empty address: they stay.
  nextAddress @8 :Text;
  nextTargetId @9 :Text;
  nextTargetStartedUnixMs @10 :Int64;
  nextFence @11 :UInt64;
}

# Runs of one service in columns, of which only the owner matters: a whole view
# of 75 nodes and 840 runs takes a sixth of what it takes as MeshOwnedRun.
struct MeshKeyOwners {
  service @0 :Text;
  owners @1 :List(Text);
  first @2 :List(UInt16);
  last @3 :List(UInt16);
  # 0: nobody; else its place among the owners, from 1 on.
  owner @4 :List(UInt16);
  fence @5 :List(UInt64);
}

struct MeshHeartbeatReply {
  isLeader @0 :Bool;
  leaderHint @1 :Text;
  hasResigned @2 :Bool;
  nonce @3 :UInt64;
  stampNs @4 :Int64;
  leaseMs @5 :UInt32;
  followStore @6 :Bool;
  viewEpoch @7 :UInt64;
  viewVersion @8 :UInt64;
  viewIsWhole @9 :Bool;
  members @10 :List(MeshMemberEntry);
  # What the receiver owns.
  runs @11 :List(MeshOwnedRun);
  obsoleteCrashSuspects @12 :List(UInt64);
  configVersion @13 :UInt64;
  obsoleteConfigDocument @14 :Data;
  # What others own.
  owners @15 :List(MeshKeyOwners);
  isNewProcess @16 :Bool;
  longestLeaseMs @17 :UInt32;
  configSource @18 :Text;
  configAgeMs @19 :UInt32;
  evacuations @20 :Evacuations;
  crashSuspects @21 :CrashSuspects;
  crashLedgerVersion @22 :UInt64;
  # Versions of the node's reports that have been merged, and stored.
  crashReportsReceived @23 :UInt64;
  crashReportsStored @24 :UInt64;
  # All that are stored for the receiver, and a version, from 1 on.
  storedDepartures @25 :Departures;
  departuresVersion @26 :UInt64;
}

struct MeshConfigRequest {
  # Of the configuration that the asking node has; 0: none.
  version @0 :UInt64;
}

# What leads from one version of the configuration to another. Routes are in
# columns, and what many have in common stands once: 1,400 routes take 40 KB of
# the 460 that they take in the operators' document.
struct MeshConfigChange {
  fromVersion @0 :UInt64;
  toVersion @1 :UInt64;
  hasStoreNext @2 :Bool;
  storeNext @3 :UInt64;
  limits @4 :Limits;
  removedRoutes @5 :List(Text);
  removedServices @6 :List(Text);
  services @7 :List(Service);
  hosts @8 :List(Text);
  terms @9 :List(Terms);
  # One after the other, and the length of each.
  names @10 :Data;
  nameLength @11 :List(UInt32);
  prefixes @12 :Data;
  prefixLength @13 :List(UInt32);
  # Places in the lists above, from 0 on.
  host @14 :List(UInt32);
  term @15 :List(UInt32);
  evacuations @16 :Evacuations;

  struct Limits {
    maxHeaderBytes @0 :UInt64;
    maxBodyBytes @1 :UInt64;
    headerTimeoutMs @2 :UInt64;
    idleTimeoutMs @3 :UInt64;
  }

  struct Service {
    name @0 :Text;
    isDividedByKey @1 :Bool;
    healthPath @2 :Text;
    maxConnections @3 :UInt32;
    coldStartMs @4 :UInt64;
    coldRequestsPerSecond @5 :Float64;
  }

  struct Destination {
    service @0 :Text;
    weight @1 :UInt32;
  }

  # A route's settings, but for its name, host and prefix.
  struct Terms {
    isIdempotent @0 :Bool;
    timeoutMs @1 :UInt64;
    targetLatencyMs @2 :UInt64;
    priority @3 :UInt32;
    maxAttempts @4 :UInt32;
    destinations @5 :List(Destination);
    regions @6 :List(Text);
  }
}

struct MeshVoteRequest {
  candidate @0 :Text;
  givesBack @1 :Bool;
  isHello @2 :Bool;
  replacesGoneLeader @3 :Bool;
}

struct MeshVoteReply {
  isGranted @0 :Bool;
  leaderHint @1 :Text;
}

# All runs of one service in columns: each run ends where the next begins. The
# store takes no record over 256 KiB, and a table may be cut into single slots.
struct StoredKeys {
  service @0 :Text;
  holders @1 :List(Holder);
  first @2 :List(UInt16);
  # Here and below, 0: nobody; else a place among the holders, from 1 on.
  owner @3 :List(UInt16);
  fence @4 :List(UInt64);
  # One after the other, and the length of each.
  handovers @5 :Data;
  handoverLength @6 :List(UInt16);
  # To whom they go; nobody: they stay.
  next @7 :List(UInt16);
  nextFence @8 :List(UInt64);

  # A life of a target.
  struct Holder {
    address @0 :Text;
    targetId @1 :Text;
    targetStartedUnixMs @2 :Int64;
  }
}

# What is stored: see MeshRecord.
struct StoredMesh {
  epoch @0 :UInt64;
  leader @1 :Text;
  voters @2 :List(Text);
  # As earlier programs stored them; read where there are no keys. Written with
  # one run that is none: such a program would else lead a mesh of which it sees
  # no owner, and give all keys a second one.
  runs @3 :List(MeshOwnedRun);
  keys @4 :List(StoredKeys);
  longestLeaseMs @5 :UInt32;
  crashSuspects @6 :CrashSuspects;
  departures @7 :Departures;
}
