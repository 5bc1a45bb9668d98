@0xa8e27d0c94f1b36e;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("citrongrade::rpc");

# What nodes' coordinators tell each other: leases, testimonies, request ids.
# Each message goes one way and may be lost; a reply is a message of its own.

struct MemberId {
  node @0 :Text;
  incarnation @1 :UInt64;
}

struct ServiceId {
  workspace @0 :Text;
  service @1 :Text;
}

struct RegisteredId {
  slot @0 :UInt32;
  idHigh @1 :UInt64;
  idLow @2 :UInt64;
  ageMs @3 :UInt64;
  resendHorizonMs @4 :UInt64;
}

struct ReadyMarker {
  slot @0 :UInt32;
  epoch @1 :UInt64;
}

struct StoredAnswer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
}

struct HandedId {
  id @0 :RegisteredId;
  answer @1 :StoredAnswer;
}

struct Testimony {
  witness @0 :MemberId;
  version @1 :UInt64;
  withoutMemory @2 :Bool;
}

struct LeaseRequest {
  version @0 :UInt64;
  sequence @1 :UInt64;
}

struct LeaseReply {
  version @0 :UInt64;
  sequence @1 :UInt64;
  answer @2 :UInt8;
}

struct CloseRequest {
  holder @0 :MemberId;
  version @1 :UInt64;
  witness @2 :MemberId;
}

struct CloseReply {
  holder @0 :MemberId;
  version @1 :UInt64;
  testimony @2 :Testimony;
  retryAfterMs @3 :UInt64;
}

struct RegisterIdsRequest {
  sequence @0 :UInt64;
  service @1 :ServiceId;
  ids @2 :List(RegisteredId);
  markers @3 :List(ReadyMarker);
}

struct RegisterIdsReply {
  sequence @0 :UInt64;
  stored @1 :Bool;
}

struct CollectIdsRequest {
  collection @0 :UInt64;
  lost @1 :MemberId;
  service @2 :ServiceId;
  chunkIndex @3 :UInt32;
}

struct CollectIdsReply {
  collection @0 :UInt64;
  lost @1 :MemberId;
  chunkIndex @2 :UInt32;
  isLast @3 :Bool;
  ids @4 :List(RegisteredId);
  markers @5 :List(ReadyMarker);
}

struct HandOffRequest {
  move @0 :UInt64;
  service @1 :ServiceId;
  slots @2 :List(UInt32);
  chunkIndex @3 :UInt32;
  chunkCount @4 :UInt32;
  ids @5 :List(HandedId);
  readySlots @6 :List(UInt32);
  historyLostForMs @7 :UInt64;
}

struct HandOffReply {
  move @0 :UInt64;
  chunkIndex @1 :UInt32;
  accepted @2 :Bool;
}

struct DrainNotice {
}

struct LapseNotice {
  holder @0 :MemberId;
}

struct PeerMessage {
  sender @0 :MemberId;
  receiver @1 :MemberId;
  content :union {
    leaseRequest @2 :LeaseRequest;
    leaseReply @3 :LeaseReply;
    closeRequest @4 :CloseRequest;
    closeReply @5 :CloseReply;
    registerIdsRequest @6 :RegisterIdsRequest;
    registerIdsReply @7 :RegisterIdsReply;
    collectIdsRequest @8 :CollectIdsRequest;
    collectIdsReply @9 :CollectIdsReply;
    handOffRequest @10 :HandOffRequest;
    handOffReply @11 :HandOffReply;
    drainNotice @12 :DrainNotice;
    lapseNotice @13 :LapseNotice;
  }
}

interface Peer {
  # Resolves once the receiver has taken it; nothing else is promised.
  deliver @0 (message :PeerMessage);
}
