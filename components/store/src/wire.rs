//! Bodies of the platform's HTTP protocol, shared by the client and the platform stand-in.
//!
//! * `GET /v1/object?key=K` reads an object, 404 where the key is free.
//! * `PUT /v1/object` with a [`WriteBody`] creates or replaces an object, 409 on a conflict.
//! * `DELETE /v1/object?key=K&expected=R` deletes an object, 409 on a conflict.
//! * `GET /v1/objects?prefix=P` lists objects.
//! * `GET /v1/watch?key=K&after=R&timeout_ms=T` waits for a newer revision, 204 on a timeout.
//!
//! A call over the rate limit is refused with 429 and `Retry-After`, a call during an outage with
//! 503.

use serde::{Deserialize, Serialize};

use crate::{ObjectKey, Revision, StoredObject};

/// Body of a write.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WriteBody {
    /// Key to write.
    pub key: ObjectKey,
    /// Revision that the object must have, `None` where the key must be free.
    pub expected: Option<Revision>,
    /// Value to store.
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
    /// Revision found, `None` where the key is free.
    pub found: Option<Revision>,
}

/// Answer to a listing.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListAnswer {
    /// Objects in key order.
    pub objects: Vec<StoredObject>,
}
