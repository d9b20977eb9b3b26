@0x9ecdd611a0df1547;
# The protocol between the processes of the system. Rules for changes: only add
# fields and methods, with new numbers; never reuse or renumber one. An older
# peer skips unknown fields and answers "unimplemented" to unknown methods.
# The generated files next to this one are committed; README.md has the command.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shallotbank::rpc::wire");

enum Role {
  unknown @0;
  entry @1;
  sched @2;
}

enum Verdict {
  mayHaveRun @0;
  notRun @1;
  ran @2;
}

struct OwnedResource {
  resource @0 :Text;
  epoch @1 :UInt64;
}

struct HeardPeer {
  process @0 :Text;
  silenceMs @1 :UInt32;
}

struct FreeSlots {
  service @0 :Text;
  slots @1 :UInt32;
}

struct PeerState {
  process @0 :Text;
  incarnation @1 :UInt64;
  host @2 :Text;
  role @3 :Role;
  httpAddress @4 :Text;
  rpcAddress @5 :Text;
  failureDomain @6 :Text;
  logHead @7 :UInt64;
  logAgeMs @8 :UInt32;
  owned @9 :List(OwnedResource);
  heard @10 :List(HeardPeer);
  draining @11 :Bool;
  freeSlots @12 :List(FreeSlots);
}

struct LogRecord {
  offset @0 :UInt64;
  data @1 :Data;
}

struct JobStatus {
  job @0 :Text;
  owned @1 :Bool;
  statusJson @2 :Text;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ForwardedRequest {
  service @0 :Text;
  team @1 :Text;
  profile @2 :Text;
  requestId @3 :Text;
  deadlineLeftMs @4 :UInt32;
  idempotent @5 :Bool;
  body @6 :Data;
  headers @7 :List(Header);
}

struct ForwardedAnswer {
  verdict @0 :Verdict;
  status @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
  reason @4 :Text;
}

interface Peer {
  ping @0 () -> ();
  heartbeat @1 (sender :PeerState) -> (callee :PeerState);
  witness @2 (resource :Text, epoch :UInt64) -> (highestSeen :UInt64);
  readRecords @3 (from :UInt64, max :UInt32)
      -> (records :List(LogRecord), first :UInt64, next :UInt64);
  jobStatus @4 (jobs :List(Text)) -> (jobs :List(JobStatus));
  listJobs @5 (team :Text, cursor :Text, max :UInt32)
      -> (jobs :List(JobStatus), nextCursor :Text);
  forwardRequest @6 (request :ForwardedRequest) -> (answer :ForwardedAnswer);
  explain @7 (kind :Text, id :Text) -> (json :Text);
}
