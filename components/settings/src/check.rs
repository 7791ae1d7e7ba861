//! Checks of the bounds that the types alone do not enforce.
//!
//! Each error names the key, the value found and the allowed values, so that an operator can
//! correct the file without reading the code.

use std::{net::SocketAddr, ops::RangeInclusive, path::Path};

use sk_model::{TextPosition, is_content_hash};

use crate::{DaemonSettings, ListenSettings, SettingsError};

/// Rule for names of daemons, data centres and regions, as errors show it.
const NAME_RULE: &str = "1 to 64 characters of a-z 0-9 - _ .";
/// Shortest secret of a fleet, in bytes; shorter ones can be guessed.
const MIN_SECRET_BYTES: usize = 16;
/// Fewest missed heartbeats after which a neighbour may be suspected. One lost packet or a short
/// pause must suspect nobody.
const MIN_MISSED_HEARTBEATS: u64 = 3;

/// Checks every bound.
///
/// # Errors
///
/// Returns the first bound that does not hold.
pub(crate) fn check_settings(
    file: &Path,
    text: &str,
    settings: &DaemonSettings,
) -> Result<(), SettingsError> {
    let checker = BoundChecker { file, text };
    checker.require_name("instance.name", &settings.instance.name)?;
    checker.require_name("instance.data_centre", &settings.instance.data_centre)?;
    checker.require_name("instance.region", &settings.instance.region)?;
    checker.require_distinct_addresses(&settings.listen, settings.metrics.listen)?;
    checker.require_range(
        "platform.timeout_ms",
        settings.platform.timeout_ms,
        50..=30_000,
        "50 to 30000",
    )?;
    checker.require(
        "platform.key_prefix",
        &settings.platform.key_prefix,
        settings.platform.key_prefix.ends_with('/')
            && settings.platform.key_prefix.trim_end_matches('/').bytes().all(is_name_byte),
        "characters of a-z 0-9 - _ . and a `/` at the end",
    )?;
    checker.require(
        "peers.secret",
        "too short",
        settings.peers.secret.len() >= MIN_SECRET_BYTES,
        "at least 16 characters",
    )?;
    check_spread(&checker, settings)?;
    check_member_and_guard(&checker, settings)?;
    check_placing_and_output(&checker, settings)?;
    check_experiment(&checker, settings)?;
    let revoke_ms = settings.workspaces.revoke_ms;
    checker.require_range("workspaces.revoke_ms", revoke_ms, 1_000..=600_000, "1000 to 600000")?;
    check_rollout(&checker, settings)?;
    let hash = &settings.operators.manager_sha256;
    checker.require(
        "operators.manager_sha256",
        "malformed",
        hash.is_empty() || is_content_hash(hash),
        "64 hexadecimal digits in lower case, or empty",
    )
}

fn check_spread(checker: &BoundChecker, settings: &DaemonSettings) -> Result<(), SettingsError> {
    let spread = &settings.spread;
    checker.require_range("spread.fan_out", spread.fan_out as u64, 1..=64, "1 to 64")?;
    let repair_ms = spread.repair_interval_ms;
    checker.require_range("spread.repair_interval_ms", repair_ms, 100..=60_000, "100 to 60000")?;
    let window = spread.start_window_ms;
    checker.require_range("spread.start_window_ms", window, 20..=60_000, "20 to 60000")?;
    checker.require_range("spread.relays", spread.relays as u64, 1..=8, "1 to 8")?;
    checker.require_range("spread.max_fetches", spread.max_fetches as u64, 1..=64, "1 to 64")
}

/// Checks the settings of membership and of the guard.
fn check_member_and_guard(
    checker: &BoundChecker,
    settings: &DaemonSettings,
) -> Result<(), SettingsError> {
    let member = &settings.member;
    checker.require_range(
        "member.heartbeat_ms",
        member.heartbeat_ms,
        50..=10_000,
        "50 to 10000",
    )?;
    checker.require(
        "member.suspect_ms",
        &member.suspect_ms.to_string(),
        member.suspect_ms >= MIN_MISSED_HEARTBEATS * member.heartbeat_ms,
        "at least three times member.heartbeat_ms",
    )?;
    let guard = &settings.guard;
    checker.require_range("guard.queue", guard.queue as u64, 0..=1024, "0 to 1024")?;
    let connections = u64::from(guard.connections);
    checker.require_range("guard.connections", connections, 1..=10_000, "1 to 10000")?;
    checker.require_range(
        "guard.max_body_bytes",
        guard.max_body_bytes,
        1024..=1 << 30,
        "1024 to 1073741824",
    )?;
    checker.require_range("guard.drain_ms", guard.drain_ms, 0..=600_000, "0 to 600000")?;
    checker.require(
        "guard.grace_s",
        &guard.grace_s.unwrap_or_default().to_string(),
        guard.grace_s.is_none_or(|grace_s| (0.1..=86_400.0).contains(&grace_s)),
        "0.1 to 86400",
    )?;
    checker.require_range(
        "guard.announce_ttl_ms",
        guard.announce_ttl_ms,
        200..=60_000,
        "200 to 60000",
    )?;
    let interval = guard.announce_interval_ms.unwrap_or(1);
    checker.require_range("guard.announce_interval_ms", interval, 1..=60_000, "1 to 60000")?;
    checker.require_range("guard.leave_ms", guard.leave_ms, 0..=60_000, "0 to 60000")?;
    checker.require_range(
        "guard.retry_least_ms",
        guard.retry_least_ms,
        0..=60_000,
        "0 to 60000",
    )?;
    checker.require_range(
        "guard.retry_spread_ms",
        guard.retry_spread_ms,
        1..=60_000,
        "1 to 60000",
    )?;
    checker.require(
        "guard.crash_limit",
        &guard.crash_limit.to_string(),
        guard.crash_limit == 0 || (2..=4).contains(&guard.crash_limit),
        "0, or 2 to 4",
    )
}

/// Checks the settings of placing, reports, logs and threads.
fn check_placing_and_output(
    checker: &BoundChecker,
    settings: &DaemonSettings,
) -> Result<(), SettingsError> {
    let placing = &settings.placing;
    checker.require_range("placing.warm_up_ms", placing.warm_up_ms, 0..=600_000, "0 to 600000")?;
    checker.require_range("placing.retry_deposit", placing.retry_deposit, 0..=1000, "0 to 1000")?;
    checker.require(
        "placing.retry_ratio",
        &placing.retry_ratio.unwrap_or_default().to_string(),
        placing.retry_ratio.is_none_or(|ratio| (0.0..=1.0).contains(&ratio)),
        "a part of the requests, 0 to 1",
    )?;
    checker.require_range("placing.retry_burst", placing.retry_burst, 0..=10_000, "0 to 10000")?;
    checker.require_range("placing.retry_margin", placing.retry_margin, 0..=900, "0 to 900")?;
    checker.require_range(
        "placing.retry_floor",
        placing.retry_floor,
        0..=100_000,
        "0 to 100000",
    )?;
    let free_moves = u64::from(placing.free_moves);
    checker.require_range("placing.free_moves", free_moves, 0..=16, "0 to 16")?;
    checker.require_range(
        "report.flush_ms",
        settings.report.flush_ms,
        50..=600_000,
        "50 to 600000",
    )?;
    let lines = &settings.logs;
    let (routine, failures) = (u64::from(lines.routine_lines), u64::from(lines.failure_lines));
    checker.require_range("logs.routine_lines", routine, 1..=100_000, "1 to 100000")?;
    checker.require_range("logs.failure_lines", failures, 1..=100_000, "1 to 100000")?;
    let threads = settings.instance.threads as u64;
    checker.require_range("instance.threads", threads, 0..=64, "0 to 64")
}

/// Checks the bounds of roll-outs, if there are any.
fn check_rollout(checker: &BoundChecker, settings: &DaemonSettings) -> Result<(), SettingsError> {
    let Some(rollout) = &settings.rollout else { return Ok(()) };
    checker.require(
        "rollout.exposure_share",
        &rollout.exposure_share.to_string(),
        (0.01..=0.5).contains(&rollout.exposure_share),
        "a part of the requests, 0.01 to 0.5",
    )?;
    let slack = u64::from(rollout.exposure_slack);
    checker.require_range("rollout.exposure_slack", slack, 0..=100_000, "0 to 100000 requests")?;
    let rollback = rollout.rollback_ms;
    checker.require_range(
        "rollout.rollback_ms",
        rollback,
        1_000..=600_000,
        "1000 to 600000 milliseconds",
    )
}

fn check_experiment(
    checker: &BoundChecker,
    settings: &DaemonSettings,
) -> Result<(), SettingsError> {
    let cold_hold = settings.experiment.cold_hold.unwrap_or_default();
    checker.require_range("experiment.cold_hold", cold_hold, 0..=1000, "0 to 1000")?;
    let near_wait_us = settings.experiment.near_wait_us.unwrap_or_default();
    checker.require_range("experiment.near_wait_us", near_wait_us, 0..=1_000_000, "0 to 1000000")
}

/// Checks values and reports errors with their position in the file.
struct BoundChecker<'a> {
    file: &'a Path,
    text: &'a str,
}

impl BoundChecker<'_> {
    /// Returns an error for `key` unless `is_allowed`.
    fn require(
        &self,
        key: &'static str,
        found: &str,
        is_allowed: bool,
        allowed: &'static str,
    ) -> Result<(), SettingsError> {
        if is_allowed {
            return Ok(());
        }
        let (file, found) = (self.file.to_owned(), found.to_owned());
        let position = self.locate_first_key(&[key]);
        Err(SettingsError::Bound { file, position, key, found, allowed })
    }

    /// Returns the position of the first of the keys that the file sets, or the start of the file.
    fn locate_first_key(&self, keys: &[&str]) -> TextPosition {
        let found = keys.iter().find_map(|key| TextPosition::of_key(self.text, key));
        found.unwrap_or(TextPosition::START)
    }

    fn require_range(
        &self,
        key: &'static str,
        found: u64,
        range: RangeInclusive<u64>,
        allowed: &'static str,
    ) -> Result<(), SettingsError> {
        self.require(key, &found.to_string(), range.contains(&found), allowed)
    }

    fn require_name(&self, key: &'static str, name: &str) -> Result<(), SettingsError> {
        let is_valid = (1..=64).contains(&name.len()) && name.bytes().all(is_name_byte);
        self.require(key, name, is_valid, NAME_RULE)
    }

    /// Requires that no two listeners have the same address.
    fn require_distinct_addresses(
        &self,
        listen: &ListenSettings,
        metrics: Option<SocketAddr>,
    ) -> Result<(), SettingsError> {
        let ready = listen.ready.map(|ready| ("listen.ready", ready));
        let metrics = metrics.map(|metrics| ("metrics.listen", metrics));
        let required = [
            ("listen.proxy", listen.proxy),
            ("listen.guard", listen.guard),
            ("listen.control", listen.control),
            ("listen.ops", listen.ops),
        ];
        let listeners: Vec<(&str, SocketAddr)> =
            required.into_iter().chain(ready).chain(metrics).collect();
        for (index, (first, address)) in listeners.iter().enumerate() {
            let clash = listeners[index + 1..].iter().find(|(_, other)| is_clash(*address, *other));
            if let Some((second, _)) = clash {
                let (file, address) = (self.file.to_owned(), address.to_string());
                let position = self.locate_first_key(&[*first, *second]);
                return Err(SettingsError::Clash { file, position, first, second, address });
            }
        }
        Ok(())
    }
}

/// Returns whether two listeners cannot be bound together: they have the same port, and the same
/// address or an unspecified one, which stands for every address. Port 0 never clashes.
fn is_clash(first: SocketAddr, second: SocketAddr) -> bool {
    let is_any = first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() != 0 && first.port() == second.port() && (is_any || first.ip() == second.ip())
}

fn is_name_byte(byte: u8) -> bool {
    matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.')
}
