//! Bounds that the types alone do not hold.

use std::{net::SocketAddr, ops::RangeInclusive, path::Path};

use sk_model::{TextPlace, is_hash};

use crate::{DaemonSettings, ListenSettings, SettingsError};

const NAME_RULE: &str = "1 to 64 characters of a-z 0-9 - _ .";
const MIN_SECRET_BYTES: usize = 16;
/// A neighbour is suspected only after this many missed heartbeats.
const MIN_MISSED_HEARTBEATS: u64 = 3;

/// Checks every bound and returns the first one broken.
pub(crate) fn check_settings(
    file: &Path,
    text: &str,
    settings: &DaemonSettings,
) -> Result<(), SettingsError> {
    let checker = BoundChecker { file, text };
    checker.name("instance.name", &settings.instance.name)?;
    checker.name("instance.data_centre", &settings.instance.data_centre)?;
    checker.name("instance.region", &settings.instance.region)?;
    checker.addresses(&settings.listen, settings.metrics.listen)?;
    checker.range(
        "platform.timeout_ms",
        settings.platform.timeout_ms,
        50..=30_000,
        "50 to 30000",
    )?;
    checker.holds(
        "platform.key_prefix",
        &settings.platform.key_prefix,
        settings.platform.key_prefix.ends_with('/')
            && settings.platform.key_prefix.trim_end_matches('/').bytes().all(is_name_byte),
        "characters of a-z 0-9 - _ . and a `/` at the end",
    )?;
    checker.holds(
        "peers.secret",
        "too short",
        settings.peers.secret.len() >= MIN_SECRET_BYTES,
        "at least 16 characters",
    )?;
    check_spread(&checker, settings)?;
    check_timers(&checker, settings)?;
    check_placing(&checker, settings)?;
    check_experiment(&checker, settings)?;
    let hash = &settings.operators.manager_sha256;
    checker.holds(
        "operators.manager_sha256",
        "malformed",
        hash.is_empty() || is_hash(hash),
        "64 hexadecimal digits in lower case, or empty",
    )
}

fn check_spread(checker: &BoundChecker, settings: &DaemonSettings) -> Result<(), SettingsError> {
    let spread = &settings.spread;
    checker.range("spread.fan_out", spread.fan_out as u64, 1..=64, "1 to 64")?;
    let repair_ms = spread.repair_interval_ms;
    checker.range("spread.repair_interval_ms", repair_ms, 100..=60_000, "100 to 60000")?;
    let window = spread.start_window_ms;
    checker.range("spread.start_window_ms", window, 20..=60_000, "20 to 60000")?;
    checker.range("spread.relays", spread.relays as u64, 1..=8, "1 to 8")?;
    checker.range("spread.max_fetches", spread.max_fetches as u64, 1..=64, "1 to 64")
}

fn check_timers(checker: &BoundChecker, settings: &DaemonSettings) -> Result<(), SettingsError> {
    let member = &settings.member;
    checker.range("member.heartbeat_ms", member.heartbeat_ms, 50..=10_000, "50 to 10000")?;
    checker.holds(
        "member.suspect_ms",
        &member.suspect_ms.to_string(),
        member.suspect_ms >= MIN_MISSED_HEARTBEATS * member.heartbeat_ms,
        "at least three times member.heartbeat_ms",
    )?;
    let guard = &settings.guard;
    checker.range("guard.queue", guard.queue as u64, 0..=1024, "0 to 1024")?;
    let connections = u64::from(guard.connections);
    checker.range("guard.connections", connections, 1..=10_000, "1 to 10000")?;
    checker.range(
        "guard.max_body_bytes",
        guard.max_body_bytes,
        1024..=1 << 30,
        "1024 to 1073741824",
    )?;
    checker.range("guard.drain_ms", guard.drain_ms, 0..=600_000, "0 to 600000")?;
    checker.range("guard.announce_ttl_ms", guard.announce_ttl_ms, 200..=60_000, "200 to 60000")?;
    checker.range("guard.leave_ms", guard.leave_ms, 0..=60_000, "0 to 60000")?;
    checker.range("guard.retry_least_ms", guard.retry_least_ms, 0..=60_000, "0 to 60000")?;
    checker.range("guard.retry_spread_ms", guard.retry_spread_ms, 1..=60_000, "1 to 60000")?;
    checker.holds(
        "guard.crash_limit",
        &guard.crash_limit.to_string(),
        guard.crash_limit == 0 || (2..=4).contains(&guard.crash_limit),
        "0, or 2 to 4",
    )
}

fn check_placing(checker: &BoundChecker, settings: &DaemonSettings) -> Result<(), SettingsError> {
    let placing = &settings.placing;
    checker.range("placing.warm_up_ms", placing.warm_up_ms, 0..=600_000, "0 to 600000")?;
    checker.range("placing.retry_deposit", placing.retry_deposit, 0..=1000, "0 to 1000")?;
    checker.range("placing.retry_burst", placing.retry_burst, 0..=10_000, "0 to 10000")?;
    checker.range("placing.retry_margin", placing.retry_margin, 0..=900, "0 to 900")?;
    checker.range("placing.retry_floor", placing.retry_floor, 0..=100_000, "0 to 100000")?;
    let moves = u64::from(placing.free_moves);
    checker.range("placing.free_moves", moves, 0..=16, "0 to 16")?;
    checker.range("report.flush_ms", settings.report.flush_ms, 50..=600_000, "50 to 600000")?;
    let lines = &settings.logs;
    let (routine, failures) = (u64::from(lines.routine_lines), u64::from(lines.failure_lines));
    checker.range("logs.routine_lines", routine, 1..=100_000, "1 to 100000")?;
    checker.range("logs.failure_lines", failures, 1..=100_000, "1 to 100000")?;
    let threads = settings.instance.threads as u64;
    checker.range("instance.threads", threads, 0..=64, "0 to 64")
}

fn check_experiment(
    checker: &BoundChecker,
    settings: &DaemonSettings,
) -> Result<(), SettingsError> {
    let hold = settings.experiment.cold_hold.unwrap_or_default();
    checker.range("experiment.cold_hold", hold, 0..=1000, "0 to 1000")?;
    let wait = settings.experiment.near_wait_us.unwrap_or_default();
    checker.range("experiment.near_wait_us", wait, 0..=1_000_000, "0 to 1000000")
}

struct BoundChecker<'a> {
    file: &'a Path,
    text: &'a str,
}

impl BoundChecker<'_> {
    fn holds(
        &self,
        key: &'static str,
        found: &str,
        is_held: bool,
        allowed: &'static str,
    ) -> Result<(), SettingsError> {
        if is_held {
            return Ok(());
        }
        let (file, found) = (self.file.to_owned(), found.to_owned());
        let place = self.place(&[key]);
        Err(SettingsError::Bound { file, place, key, found, allowed })
    }

    /// Gives the place of the first of the keys that the file sets.
    fn place(&self, keys: &[&str]) -> TextPlace {
        let found = keys.iter().find_map(|key| TextPlace::of_key(self.text, key));
        found.unwrap_or(TextPlace::START)
    }

    fn range(
        &self,
        key: &'static str,
        found: u64,
        range: RangeInclusive<u64>,
        allowed: &'static str,
    ) -> Result<(), SettingsError> {
        self.holds(key, &found.to_string(), range.contains(&found), allowed)
    }

    fn name(&self, key: &'static str, name: &str) -> Result<(), SettingsError> {
        let is_name = (1..=64).contains(&name.len()) && name.bytes().all(is_name_byte);
        self.holds(key, name, is_name, NAME_RULE)
    }

    fn addresses(
        &self,
        listen: &ListenSettings,
        metrics: Option<SocketAddr>,
    ) -> Result<(), SettingsError> {
        let ready = listen.ready.map(|ready| ("listen.ready", ready));
        let metrics = metrics.map(|metrics| ("metrics.listen", metrics));
        let always = [
            ("listen.proxy", listen.proxy),
            ("listen.guard", listen.guard),
            ("listen.control", listen.control),
            ("listen.ops", listen.ops),
        ];
        let named: Vec<(&str, SocketAddr)> =
            always.into_iter().chain(ready).chain(metrics).collect();
        for (index, (first, address)) in named.iter().enumerate() {
            let clash = named[index + 1..].iter().find(|(_, other)| is_clash(*address, *other));
            if let Some((second, _)) = clash {
                let (file, address) = (self.file.to_owned(), address.to_string());
                let place = self.place(&[*first, *second]);
                return Err(SettingsError::Clash { file, place, first, second, address });
            }
        }
        Ok(())
    }
}

/// Two listeners clash on the same port where either takes every address.
fn is_clash(first: SocketAddr, second: SocketAddr) -> bool {
    let is_any = first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() != 0 && first.port() == second.port() && (is_any || first.ip() == second.ip())
}

fn is_name_byte(byte: u8) -> bool {
    matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.')
}
