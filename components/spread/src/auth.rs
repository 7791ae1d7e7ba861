//! Proofs that a peer knows the fleet's shared secret.
//!
//! Each side proves the secret over both nonces, so that a recorded proof is worth nothing in
//! another session. Traffic after the proof is not encrypted: the network between instances is
//! trusted not to alter streams, as docs/DESIGN.md says.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Random bytes of each side.
pub(crate) type Nonce = [u8; 16];

/// Which side a proof speaks for; the two differ so that one cannot be sent back as the other.
#[derive(Clone, Copy)]
pub(crate) enum ProofSide {
    Caller,
    Callee,
}

pub(crate) fn make_nonce() -> Nonce {
    rand::random()
}

/// Makes one side's proof over both nonces.
pub(crate) fn make_proof(secret: &[u8], side: ProofSide, caller: &[u8], callee: &[u8]) -> Vec<u8> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of any length");
    mac.update(match side {
        ProofSide::Caller => b"caller",
        ProofSide::Callee => b"callee",
    });
    mac.update(caller);
    mac.update(callee);
    mac.finalize().into_bytes().to_vec()
}

/// Compares a proof in constant time.
pub(crate) fn is_proof(
    secret: &[u8],
    side: ProofSide,
    caller: &[u8],
    callee: &[u8],
    proof: &[u8],
) -> bool {
    make_proof(secret, side, caller, callee).ct_eq(proof).into()
}
