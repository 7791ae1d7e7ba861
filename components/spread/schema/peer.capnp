@0xd3b1f0a6c94e7725;

# Control protocol between daemons. Regenerate the Rust code as docs/DESIGN.md describes.

interface Gate {
  # Interface for any process that connects. It serves only to prove the shared secret.
  challenge @0 () -> (nonce :Data);
  enter @1 (nonce :Data, proof :Data, proxy :Text, peer :Peer) -> (proof :Data, proxy :Text, peer :Peer);
  # Proves the secret. Each side sends its name and an interface for calls in its direction over the
  # same connection.
}

interface Peer {
  beat @0 (beat :Beat) -> (beat :Beat);
  # Exchanges heartbeats over a link.
  rumor @1 (records :List(Member), suspicions :List(Suspicion)) -> ();
  # Sends changed records and suspicions.
  reconcile @2 (buckets :List(UInt64), beat :Beat) -> (buckets :List(UInt64), records :List(Member), beat :Beat);
  # Compares digests of record buckets and returns the records of the buckets that differ.
  push @3 (update :Update, root :Text) -> (held :UInt64);
  # Sends a version along the tree of `root`; `held` is the version held afterwards.
  announce @4 (version :UInt64, rootHash :UInt64, root :Text) -> (held :UInt64);
  # Announces a version that can be fetched from the caller, along the tree of `root`.
  fetch @5 (request :FetchRequest) -> (answer :FetchAnswer);
  # Requests the newest version.
  acknowledge @6 (acks :List(Ack)) -> ();
  # Reports to a relay which versions daemons hold.
  notices @7 (body :Data) -> ();
  # Sends notices about requests, such as those that crash servers.
  allowances @8 (asks :List(AllowanceAsk)) -> (grants :List(AllowanceGrant));
  # Asks the owner of workspaces' limits for tokens; one grant for each ask, in their order.
}

interface Ticket {
  # Kept by the receiver of a fetch until it has read the answer; its release frees the fetch slot.
}

struct Beat {
  version @0 :UInt64;
  rootHash @1 :UInt64;
  # First 8 bytes of the root's hash.
  members @2 :UInt64;
  # Digest of all records.
  isReady @3 :Bool;
  sourceAgeMillis @4 :UInt32 = 0xffffffff;
  # Time since the source was known to have nothing newer than `version`; the default means unknown.
  looker @5 :UInt64;
  # Hash of the name of the daemon that read the source then.
  history @6 :UInt64;
  # Position in the source's history up to which that daemon knew everything.
}

struct FetchRequest {
  held @0 :UInt64;
  heldMark @1 :UInt64;
  # First 8 bytes of the hash of the held root.
  trees @2 :List(TreeHash);
  # Empty in the first request; set after the answer `needTrees`.
  confirm @3 :Bool;
  # Requests that a relay reads the configuration source first.

  struct TreeHash {
    team @0 :Text;
    hash @1 :Text;
  }
}

struct FetchAnswer {
  isFresh @0 :Bool;
  # The configuration source was read after the request arrived.
  isReady @1 :Bool;
  union {
    same @2 :Void;
    # The receiver holds the newest version known here, or a newer one.
    update @3 :Update;
    busyMillis @4 :UInt32;
    # Too many fetches are being served: retry after this pause.
    needTrees @5 :Void;
    # The base is not kept here: repeat the request with the hashes of the subtrees.
  }
  ticket @6 :Ticket;
  isAway @7 :Bool;
  # The configuration source could not be read.
}

struct Member {
  proxy @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  status @3 :Status;
  dataCentre @4 :Text;
  region @5 :Text;
  control @6 :Text;
  guard @7 :Text;
  endpoints @8 :List(Endpoint);

  enum Status {
    alive @0;
    suspect @1;
    leaving @2;
    gone @3;
  }
}

struct Suspicion {
  proxy @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  observer @3 :Text;
  round @4 :UInt64;
  isWithdrawn @5 :Bool;
}

struct Endpoint {
  service @0 :Text;
  server @1 :Text;
  slots @2 :UInt32;
  isReady @3 :Bool;
  version @4 :Text;
  # Version of the server's software; empty if unknown.
}

struct Update {
  # A version of the configuration as the subtrees that changed since a base; base 0 means all
  # subtrees.
  version @0 :UInt64;
  base @1 :UInt64;
  rootHash @2 :Text;
  change @3 :Data;
  # Compressed JSON, as are `whole` and `writes`.
  trees @4 :List(Tree);
  removed @5 :List(Text);

  struct Tree {
    team @0 :Text;
    version @1 :UInt64;
    hash @2 :Text;
    union {
      whole @3 :Data;
      writes @4 :Data;
      held @5 :Void;
      # The receiver holds a subtree with this hash.
    }
  }
}

struct Ack {
  proxy @0 :Text;
  dataCentre @1 :Text;
  version @2 :UInt64;
  since @3 :UInt64;
  incarnation @7 :UInt64;
  source @4 :Text;
  rejected @5 :UInt64;
  # Newest rejected version, if newer than `version`; 0 means none.
  reason @6 :Text;
}

struct AllowanceAsk {
  workspace @0 :Text;
  needed @1 :UInt32;
  # Tokens for requests that wait.
  ahead @2 :UInt32;
  # Tokens ahead of need.
  spent @3 :UInt32;
  # Tokens for requests that were sent without one.
}

struct AllowanceGrant {
  isLimited @0 :Bool;
  # The owner knows a limit of the workspace.
  tokens @1 :UInt32;
  retryMillis @2 :UInt32;
  # Time until a request without a token may come back.
}
