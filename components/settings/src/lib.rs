//! Checked settings of the daemon, read from TOML.
