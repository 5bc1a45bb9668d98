@0xd3c1f7a25be09a41;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("citrongrade::rpc");

# Requests on their way from the node that a caller chose to the node that runs
# them. Bodies are pulled by whoever needs the bytes next, so that each side
# holds a bounded part of them, whatever their length.

struct HeaderField {
  name @0 :Text;
  value @1 :Text;
}

struct RequestHead {
  workspace @0 :Text;
  service @1 :Text;
  requestId @2 :Text;
  method @3 :Text;
  # Path and query as the caller sent them.
  target @4 :Text;
  headers @5 :List(HeaderField);
  key @6 :Text;
  hasSlot @7 :Bool;
  slot @8 :UInt32;
  isIdempotent @9 :Bool;
  # A non-idempotent request with an id, given as its hash.
  isProtected @10 :Bool;
  idHigh @11 :UInt64;
  idLow @12 :UInt64;
  isFirstAttempt @13 :Bool;
  resendHorizonMs @14 :UInt64;
  # Time left, from arrival.
  deadlineMs @15 :UInt64;
  # -1: in chunks, of a length not known before.
  bodyLength @16 :Int64;
  isLongWork @17 :Bool;
  callerHash @18 :UInt64;
  fingerprint @19 :UInt64;
  attemptsLeft @20 :UInt8;
}

struct AnswerHead {
  outcome @0 :UInt8;
  # Index of a RequestErrorCode; 255: none, the target's own answer.
  error @1 :UInt8 = 255;
  message @2 :Text;
  retryAfterMs @3 :UInt64;
  status @4 :UInt16;
  headers @5 :List(HeaderField);
  bodyLength @6 :Int64;
}

# A body, or the rest of one. Dropping it tells its holder to stop.
interface ByteSource {
  # Waits for the next bytes. Fails when the body was cut short.
  read @0 (maxBytes :UInt32) -> (bytes :Data, isEnd :Bool);
}

interface RequestRunner {
  # `body` and the answer's `body` are the first bytes; `rest` is null when they
  # are all. Dropping the call cancels the request.
  run @0 (head :RequestHead, body :Data, rest :ByteSource)
      -> (head :AnswerHead, body :Data, rest :ByteSource);

  # Heartbeat.
  ping @1 ();
}
