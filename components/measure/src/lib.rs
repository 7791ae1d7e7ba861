//! Load and measurement on one machine.
