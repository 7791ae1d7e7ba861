//! Passing configuration and membership between daemons.
