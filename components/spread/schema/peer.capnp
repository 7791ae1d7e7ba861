@0xd3b1f0a6c94e7725;

# Control traffic between daemons. Regenerate as docs/DESIGN.md says.

interface Gate {
  # What a daemon gives to anyone who connects: nothing but the way to prove the shared secret.
  challenge @0 () -> (nonce :Data);
  enter @1 (nonce :Data, proof :Data) -> (peer :Peer, proof :Data);
}

interface Peer {
  exchange @0 (digest :Digest, records :List(Member)) -> (digest :Digest, records :List(Member));
  # Compares versions and passes on records the other side may lack.
  push @1 (update :Update, sender :Text) -> (held :UInt64);
  # Passes on a version; the answer is the version held afterwards.
  fetch @2 (held :UInt64, heldHash :Text) -> (update :Update);
  # Asks for the newest version.
  acknowledge @3 (acks :List(Ack)) -> ();
  # Tells a relay what daemons hold.
}

struct Digest {
  proxy @0 :Text;
  version @1 :UInt64;
  members @2 :Data;
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

struct Endpoint {
  service @0 :Text;
  server @1 :Text;
  slots @2 :UInt32;
  isReady @3 :Bool;
}

struct Update {
  # A version of the configuration as the subtrees that changed since a base; base 0 means whole.
  version @0 :UInt64;
  base @1 :UInt64;
  rootHash @2 :Text;
  change @3 :Data;
  trees @4 :List(Tree);

  struct Tree {
    team @0 :Text;
    version @1 :UInt64;
    hash @2 :Text;
    union {
      whole @3 :Data;
      writes @4 :Data;
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
  reason @6 :Text;
}
