//! Proofs that a peer knows the secret shared by the fleet.
//!
//! Each side signs both nonces, so that a recorded proof is useless in another session. Traffic
//! after the proof is not encrypted: the network between instances is trusted not to alter
//! streams, as docs/DESIGN.md says.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Random bytes contributed by one side.
pub(crate) type Nonce = [u8; 16];

/// The side that makes a proof. It is part of the proof, so that neither side can return the
/// other's proof as its own.
#[derive(Clone, Copy)]
pub(crate) enum ProofSide {
    Caller,
    Callee,
}

/// Draws a random nonce.
pub(crate) fn make_nonce() -> Nonce {
    rand::random()
}

/// Makes the proof of one side over both nonces.
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

/// Verifies the proof of one side in constant time.
pub(crate) fn verify_proof(
    secret: &[u8],
    side: ProofSide,
    caller: &[u8],
    callee: &[u8],
    proof: &[u8],
) -> bool {
    make_proof(secret, side, caller, callee).ct_eq(proof).into()
}
