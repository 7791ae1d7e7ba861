//! Decisions under load, without I/O or clock.
