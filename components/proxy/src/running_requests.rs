//! Requests that backend servers may be working on, by which the calls that a server makes for them
//! are told from requests of callers. The design note is `docs/design/server-calls.md`.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    body::BodyError,
    tracked_body::{BodyEndHandler, BodyProgress},
};

/// Largest number of requests that are known at once.
const MAX_REQUESTS: usize = 16_384;
/// Time after its deadline for which a request is known: the transit of a call that the server
/// has made at the last moment.
const CALL_TRANSIT: Duration = Duration::from_millis(200);
/// Longest remaining time that is taken from another daemon.
const MAX_REMAINING: Duration = Duration::from_secs(600);
/// Age from which a request is deposited with another daemon. Most end before that.
const DEPOSIT_AGE: Duration = Duration::from_millis(100);
/// Time between removals of requests whose deadline has passed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A request that a server may be working on, as daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnfinishedRequest {
    /// Id of the caller's attempt.
    #[serde(rename = "i")]
    pub attempt: String,
    /// Milliseconds until its deadline.
    #[serde(rename = "m")]
    pub remaining_ms: u64,
}

/// Where a request runs: beside this daemon, or beside another one.
type RunPlace = Option<Arc<str>>;

/// Copies of one request at one server.
#[derive(Debug)]
struct RunEntry {
    began: Instant,
    /// When the last of their deadlines passes, with the transit of a call.
    until: Instant,
    /// Copies that are open here.
    open: u32,
    /// Whether a copy ended here while the server may work on.
    is_uncertain: bool,
    /// Whether the request entered at this daemon, beside its server, so that no other one knows it.
    is_from_here: bool,
    /// Whether another daemon keeps it for this one.
    is_deposited: bool,
}

type RunMap = HashMap<String, RunEntry>;

#[derive(Debug, Default)]
struct RunTable {
    places: HashMap<RunPlace, RunMap>,
    count: usize,
    swept_at: Option<Instant>,
    /// Whether the local server has made a call since the start of this daemon.
    has_calls: bool,
    /// When requests at the local server were last lost from the list, or may have been.
    lost_at: Option<Instant>,
}

/// Requests that backend servers may be working on, bounded in number and in time.
#[derive(Clone, Default)]
pub struct RunningRequests(Arc<Mutex<RunTable>>);

/// A copy of a request that was sent to a server, or is about to be.
#[must_use]
pub(crate) struct RunningRequest {
    requests: RunningRequests,
    place: RunPlace,
    attempt: String,
    is_sent: bool,
    has_ended: bool,
}

impl RunningRequests {
    /// Creates the list of a daemon of which an earlier process may have sent requests to the local
    /// server until now.
    pub fn after_restart() -> Self {
        let table = RunTable { lost_at: Some(Instant::now()), ..RunTable::default() };
        Self(Arc::new(Mutex::new(table)))
    }

    /// Returns whether the local server may be working on a request that is not known here, if none
    /// takes longer than `longest`.
    pub(crate) fn may_lack_some(&self, longest: Duration) -> bool {
        let lost_at = self.lock().lost_at;
        lost_at.is_some_and(|lost_at| lost_at.elapsed() < longest + CALL_TRANSIT)
    }

    /// Adds a request that is sent to the local server, which has to end by `deadline`.
    /// `is_from_here` tells whether it entered at this daemon.
    pub(crate) fn begin(
        &self,
        attempt: &str,
        deadline: Instant,
        is_from_here: bool,
    ) -> RunningRequest {
        let mut request = self.add(None, attempt, deadline, is_from_here);
        request.set_sent(false);
        request
    }

    /// Adds a request that is sent to the server beside another daemon.
    pub(crate) fn begin_at(
        &self,
        daemon: &str,
        attempt: &str,
        deadline: Instant,
    ) -> RunningRequest {
        self.add(Some(Arc::from(daemon)), attempt, deadline, false)
    }

    /// Returns whether the local server may be working on a request with this id, and remembers that
    /// it makes calls if it does.
    pub(crate) fn has_call_of(&self, attempt: &str) -> bool {
        let mut table = self.lock();
        let found = table.places.get(&None).and_then(|map| map.get(attempt));
        let is_running = found.is_some_and(|entry| entry.until > Instant::now());
        table.has_calls |= is_running;
        is_running
    }

    /// Returns the requests that the server beside another daemon may be working on.
    pub fn unfinished_at(&self, daemon: &str) -> Vec<UnfinishedRequest> {
        let (table, now) = (self.lock(), Instant::now());
        let of_daemon = table.places.get(&Some(Arc::from(daemon))).into_iter().flatten();
        of_daemon.filter_map(|(attempt, entry)| entry.describe(attempt, now)).collect()
    }

    /// Keeps requests for another daemon, which asks for them if it starts again.
    pub fn keep(&self, daemon: &str, requests: &[UnfinishedRequest]) {
        self.add_uncertain(&Some(Arc::from(daemon)), requests);
    }

    /// Adds requests that an earlier process of this daemon has sent to the local server.
    pub fn restore(&self, requests: &[UnfinishedRequest]) {
        self.add_uncertain(&None, requests);
    }

    /// Takes the requests that no other daemon knows, if the local server makes calls.
    pub fn take_deposit(&self) -> Vec<UnfinishedRequest> {
        let (mut table, now) = (self.lock(), Instant::now());
        if !table.has_calls {
            return Vec::new();
        }
        let here = table.places.get_mut(&None).into_iter().flatten();
        let is_old = |entry: &RunEntry| now.duration_since(entry.began) >= DEPOSIT_AGE;
        let due = here.filter(|(_, entry)| entry.is_from_here && !entry.is_deposited);
        let due = due.filter(|(_, entry)| is_old(entry));
        due.filter_map(|(attempt, entry)| {
            entry.is_deposited = true;
            entry.describe(attempt, now)
        })
        .collect()
    }

    /// Makes all requests due again that no other daemon knows, after a failed deposit.
    pub fn reset_deposit(&self) {
        let mut table = self.lock();
        let here = table.places.get_mut(&None).into_iter().flatten();
        here.for_each(|(_, entry)| entry.is_deposited = false);
    }

    fn add(
        &self,
        place: RunPlace,
        attempt: &str,
        deadline: Instant,
        is_from_here: bool,
    ) -> RunningRequest {
        let is_known = self.lock().insert(&place, attempt, deadline + CALL_TRANSIT, |entry| {
            entry.open += 1;
            entry.is_from_here |= is_from_here;
        });
        let (requests, attempt) = (self.clone(), attempt.to_owned());
        RunningRequest { requests, place, attempt, is_sent: true, has_ended: !is_known }
    }

    fn add_uncertain(&self, place: &RunPlace, requests: &[UnfinishedRequest]) {
        let (mut table, now) = (self.lock(), Instant::now());
        for request in requests {
            let remaining = Duration::from_millis(request.remaining_ms).min(MAX_REMAINING);
            let mark = |entry: &mut RunEntry| entry.is_uncertain = true;
            table.insert(place, &request.attempt, now + remaining, mark);
        }
    }

    fn lock(&self) -> MutexGuard<'_, RunTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunTable {
    /// Adds a copy of a request, and returns whether there was room for it.
    fn insert(
        &mut self,
        place: &RunPlace,
        attempt: &str,
        until: Instant,
        change: impl FnOnce(&mut RunEntry),
    ) -> bool {
        self.sweep(Instant::now());
        let map = match self.places.get_mut(place) {
            Some(map) => map,
            None => self.places.entry(place.clone()).or_default(),
        };
        let entry = match map.get_mut(attempt) {
            Some(entry) => entry,
            None if self.count >= MAX_REQUESTS => {
                if place.is_none() {
                    self.lost_at = Some(Instant::now());
                }
                return false;
            }
            None => {
                self.count += 1;
                map.entry(attempt.to_owned()).or_insert(RunEntry {
                    began: Instant::now(),
                    until,
                    open: 0,
                    is_uncertain: false,
                    is_from_here: false,
                    is_deposited: false,
                })
            }
        };
        entry.until = entry.until.max(until);
        change(entry);
        true
    }

    /// Removes the requests whose deadlines have passed, at most once in an interval.
    fn sweep(&mut self, now: Instant) {
        if self.swept_at.is_some_and(|at| now.duration_since(at) < SWEEP_INTERVAL) {
            return;
        }
        self.swept_at = Some(now);
        for map in self.places.values_mut() {
            map.retain(|_, entry| entry.open > 0 || entry.until > now);
        }
        self.places.retain(|_, map| !map.is_empty());
        self.count = self.places.values().map(HashMap::len).sum();
    }

    /// Ends a copy of a request.
    fn end(&mut self, place: &RunPlace, attempt: &str, is_certain: bool) {
        let Some(map) = self.places.get_mut(place) else { return };
        let Some(entry) = map.get_mut(attempt) else { return };
        entry.open = entry.open.saturating_sub(1);
        entry.is_uncertain |= !is_certain;
        let is_over = !entry.is_uncertain || entry.until <= Instant::now();
        if entry.open == 0 && is_over {
            map.remove(attempt);
            self.count = self.count.saturating_sub(1);
        }
    }
}

impl RunEntry {
    /// Describes the request for another daemon; `None` once its deadline has passed.
    fn describe(&self, attempt: &str, now: Instant) -> Option<UnfinishedRequest> {
        let remaining = self.until.checked_duration_since(now)?;
        let remaining_ms = remaining.as_millis() as u64;
        Some(UnfinishedRequest { attempt: attempt.to_owned(), remaining_ms })
    }
}

impl RunningRequest {
    /// Records whether the server may have received the request.
    pub(crate) fn set_sent(&mut self, is_sent: bool) {
        self.is_sent = is_sent;
    }

    /// Ends the request: its server has answered it completely, or does not run it.
    pub(crate) fn end(mut self) {
        self.finish(true);
    }

    fn finish(&mut self, is_certain: bool) {
        if !std::mem::replace(&mut self.has_ended, true) {
            self.requests.lock().end(&self.place, &self.attempt, is_certain);
        }
    }
}

/// Without a certain end the server may work on until the deadline.
impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.finish(!self.is_sent);
    }
}

impl BodyEndHandler for RunningRequest {
    fn on_complete(self) {
        self.end();
    }

    fn on_failure(self, _err: &BodyError, _progress: BodyProgress) {}
}
