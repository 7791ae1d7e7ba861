//! Bodies of the platform's HTTP protocol, shared by the client and the stand-in.
//!
//! * `GET /v1/object?key=K` reads, 404 where the key is free.
//! * `PUT /v1/object` with a [`WriteBody`] creates or replaces, 409 on a conflict.
//! * `DELETE /v1/object?key=K&expected=R` deletes, 409 on a conflict.
//! * `GET /v1/objects?prefix=P` lists.
//! * `GET /v1/watch?key=K&after=R&timeout_ms=T` waits, 204 when nothing changed.
//!
//! 429 with `Retry-After` refuses a call over the rate, 503 one during an outage.

use serde::{Deserialize, Serialize};

use crate::{ObjectKey, Revision, StoredObject};

/// Body of a write.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WriteBody {
    /// Key to write.
    pub key: ObjectKey,
    /// Revision the object must have, none where the key must be free.
    pub expected: Option<Revision>,
    /// Value to hold.
    pub value: String,
}

/// Answer to a write that took effect.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WriteAnswer {
    /// Revision of the object after the write.
    pub revision: Revision,
}

/// Answer to a conditional write whose condition did not hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConflictAnswer {
    /// Revision found, none where the key is free.
    pub found: Option<Revision>,
}

/// Answer to a listing.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListAnswer {
    /// Objects in key order.
    pub objects: Vec<StoredObject>,
}
