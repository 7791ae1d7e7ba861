//! Accepting changes: versions, conflicts and history in the platform.
