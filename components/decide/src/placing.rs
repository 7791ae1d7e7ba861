//! Choosing an endpoint for a request.
//!
//! The servers of a service differ from minute to minute: one is slow, one has just started, one is
//! gone and not yet known to be gone. In the default order two endpoints are drawn at random, in
//! proportion to the slots that can be counted on at each, and the request goes to the one with
//! fewer of this daemon's requests in flight per slot. Round robin would send a slow server as many
//! requests as the others; always taking the least loaded would send the requests of all daemons to
//! the same server at once.
//!
//! A daemon sees only its own requests, a few per second and endpoint. Its own observations decide.
//! What servers report of their load (hints) can only lower the slots counted on, for a short time.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::Rng;
use thiserror::Error;

use crate::placing::slot_odds::SlotOdds;
use crate::{WorkClass, WorkKey};

pub use crate::placing::call::{CallOutcome, PlacedCall};
pub use crate::placing::gauge::{EndpointGauge, EndpointState};
use crate::placing::mean::{SizeMean, WorkMeans};

pub use crate::placing::settings::{PlacementFactors, PlacementOrder, PlacementSettings};

mod call;
mod gauge;
mod mean;
mod outlier;
mod settings;
mod slot_odds;
mod soonest;
mod two_choices;

/// Upper bound of the wait for a slot that a guard reports. A longer one would still count when the
/// load that it describes has changed.
const MAX_REPORTED_WAIT: Duration = Duration::from_secs(1);

/// Identifies an endpoint among those of its service.
pub type EndpointId = u64;
/// Identifies one process at an endpoint; a restarted server has another.
pub type Incarnation = u64;

/// How far an endpoint is from this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointDistance {
    /// In the same data centre.
    SameCentre,
    /// In another data centre of the region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl EndpointDistance {
    /// All distances, the nearest first.
    pub const ALL: [Self; 3] = [Self::SameCentre, Self::SameRegion, Self::OtherRegion];
}

/// An endpoint as the membership lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Identifies the endpoint.
    pub id: EndpointId,
    /// Identifies the process at the endpoint.
    pub incarnation: Incarnation,
    /// Requests it runs at once.
    pub slots: u32,
    /// Distance from this daemon.
    pub distance: EndpointDistance,
    /// Time that the process had been running when it was announced.
    pub age: Duration,
}

/// A request to place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceRequest<'a> {
    /// Class of its work.
    pub class: WorkClass,
    /// Kind of its work. Service times are kept by kind, since those of two kinds are not
    /// comparable.
    pub work: WorkKey,
    /// Expected size of the request and its answer together, in bytes.
    pub bytes: u64,
    /// Endpoints already tried.
    pub exclude: &'a [EndpointId],
    /// Whether it may go to an ejected endpoint, as its probe. True for requests that can be tried
    /// again elsewhere, false for those that run at most once.
    pub may_probe: bool,
    /// Whether it may only go to an endpoint where a slot is likely free or, in this daemon's own
    /// data centre, expected to be free soon. Endpoints that have lately reported a longer wait are
    /// left out.
    pub needs_free_slot: bool,
    /// Time left until its response-time goal, if it has one.
    pub goal: Option<Duration>,
    /// Whether a request that has started at another server waits for it.
    pub is_nested: bool,
}

/// Why a request could not be placed. It did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlaceError {
    /// The service has no endpoint.
    #[error("the service has no endpoint")]
    NoEndpoint,
    /// All endpoints were tried, are ejected or are leaving.
    #[error("all endpoints were tried, are ejected or are leaving")]
    AllExcluded,
}

/// One endpoint and its counters.
#[derive(Clone, Debug)]
pub(crate) struct TableEntry {
    pub(crate) record: EndpointRecord,
    pub(crate) gauge: Arc<EndpointGauge>,
}

/// The endpoints of one service. Immutable but for its counters, so that threads share it through
/// an `Arc`; a change of membership makes a new table by [`PlacementTable::rebuild`].
#[derive(Debug)]
pub struct PlacementTable {
    pub(crate) settings: PlacementSettings,
    pub(crate) entries: Vec<TableEntry>,
    /// Sizes of answers by kind of work.
    sizes: Arc<WorkMeans<SizeMean>>,
    /// How attempts to find a free slot ended.
    slot_odds: Arc<SlotOdds>,
    /// How attempts ended that were made after another endpoint had no room.
    move_odds: Arc<SlotOdds>,
    /// Locked while an endpoint is ejected. Two threads that each eject one would otherwise both
    /// count the other endpoint as in service and exceed the limit on ejections.
    pub(crate) ejection_lock: Arc<Mutex<()>>,
}

impl PlacementTable {
    /// Creates a table without endpoints.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            entries: Vec::new(),
            sizes: Arc::default(),
            slot_odds: Arc::default(),
            move_odds: Arc::default(),
            ejection_lock: Arc::default(),
        }
    }

    /// Creates the table for a changed membership. Counters carry over to the same incarnation
    /// only: a new process at an old address starts cold and without a history.
    #[must_use]
    pub fn rebuild(&self, records: &[EndpointRecord], now: Duration) -> Self {
        let gauges: HashMap<_, _> = self
            .entries
            .iter()
            .map(|entry| ((entry.record.id, entry.record.incarnation), &entry.gauge))
            .collect();
        let entry_of = |record: &EndpointRecord| {
            let gauge = match gauges.get(&(record.id, record.incarnation)) {
                Some(gauge) => Arc::clone(gauge),
                None => Arc::new(EndpointGauge::new(record.age, now)),
            };
            TableEntry { record: *record, gauge }
        };
        let table = Self {
            settings: self.settings,
            entries: records.iter().map(entry_of).collect(),
            sizes: Arc::clone(&self.sizes),
            slot_odds: Arc::clone(&self.slot_odds),
            move_odds: Arc::clone(&self.move_odds),
            ejection_lock: Arc::clone(&self.ejection_lock),
        };
        table.reinstate_excess(now);
        table
    }

    /// Places a request and counts it as in flight until the call is finished or dropped.
    ///
    /// # Errors
    ///
    /// Returns a [`PlaceError`] if no endpoint may take it.
    pub fn choose(
        self: &Arc<Self>,
        request: &PlaceRequest<'_>,
        now: Duration,
        rng: &mut (impl Rng + ?Sized),
    ) -> Result<PlacedCall, PlaceError> {
        if self.entries.is_empty() {
            return Err(PlaceError::NoEndpoint);
        }
        if let Some(index) = self.claim_due_probe(request, now) {
            return Ok(PlacedCall::start(self, index, request, true, now));
        }
        if self.settings.order == PlacementOrder::Soonest {
            return match self.pick_soonest(request, now, rng) {
                Some(index) => Ok(PlacedCall::start(self, index, request, false, now)),
                None if request.needs_free_slot => Err(PlaceError::AllExcluded),
                None => self.place_on_ejected(request, now).ok_or(PlaceError::AllExcluded),
            };
        }
        let candidates = self.candidates(request, now);
        match two_choices::pick(&candidates, &self.settings, rng) {
            Some(index) => Ok(PlacedCall::start(self, index, request, false, now)),
            None => self.place_on_ejected(request, now).ok_or(PlaceError::AllExcluded),
        }
    }

    /// Records the load that an endpoint reports, from 0 (idle) to 1 (full). It lowers the slots
    /// counted on at the endpoint until it expires, and never raises them.
    pub fn record_load(&self, id: EndpointId, load: f64, now: Duration) {
        if let Some(entry) = self.entries.iter().find(|entry| entry.record.id == id) {
            entry.gauge.set_hint(load, now + self.settings.hint_life);
        }
    }

    /// Records how long a request would wait for a slot at an endpoint, as its guard reports;
    /// `is_nested` as in [`PlaceRequest::is_nested`]. For a request that asks for a free slot the
    /// report counts until that wait would be over; for one that may queue it fades.
    pub fn record_wait(&self, id: EndpointId, is_nested: bool, wait: Duration, now: Duration) {
        if let Some(entry) = self.entries.iter().find(|entry| entry.record.id == id) {
            entry.gauge.set_wait(is_nested, wait.min(MAX_REPORTED_WAIT), now);
        }
    }

    /// Records whether an attempt to find a free slot was in vain.
    pub fn record_slot_search(&self, is_vain: bool, now: Duration) {
        self.slot_odds.record(is_vain, now);
    }

    /// Returns whether so many attempts to find a free slot have lately been in vain that requests had
    /// better queue at once.
    pub fn is_asking_vain(&self, now: Duration) -> bool {
        self.settings.factors.slot_odds && self.slot_odds.is_asking_vain(now)
    }

    /// Records whether an attempt was in vain that was made after another endpoint had no room.
    pub fn record_move(&self, is_vain: bool, now: Duration) {
        self.move_odds.record(is_vain, now);
    }

    /// Returns whether so many of such attempts have lately been in vain that a request which finds no
    /// room had better go back to its caller at once.
    pub fn is_moving_vain(&self, now: Duration) -> bool {
        self.settings.factors.slot_odds && self.move_odds.is_asking_vain(now)
    }

    /// Records the failure rate that an endpoint's guard reports, from 0 to 1. It can only raise
    /// the rate that this daemon has seen itself, and decays like it.
    pub fn record_failure_rate(&self, id: EndpointId, part: f64, now: Duration) {
        if let Some(entry) = self.entries.iter().find(|entry| entry.record.id == id) {
            entry.gauge.raise_failure_rate(part, now);
        }
    }

    /// Records the size of an answer.
    pub fn record_size(&self, work: WorkKey, bytes: u64) {
        self.sizes.for_kind(work).add(bytes);
    }

    /// Returns the usual size of an answer in bytes, zero while none is known.
    pub fn usual_size(&self, work: WorkKey) -> u64 {
        self.sizes.for_kind(work).get()
    }

    /// Returns the settings.
    pub fn settings(&self) -> &PlacementSettings {
        &self.settings
    }

    /// Returns the state of each endpoint, for a dump.
    pub fn states(&self, now: Duration) -> Vec<EndpointState> {
        self.entries
            .iter()
            .map(|entry| {
                let effective_slots = self.effective_slots_of(entry, now);
                EndpointState::of(&entry.record, &entry.gauge, effective_slots)
            })
            .collect()
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the service has no endpoint.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the slots that can be counted on at an endpoint now: fewer while its server is cold
    /// or reports load.
    fn effective_slots_of(&self, entry: &TableEntry, now: Duration) -> f64 {
        let settings = &self.settings;
        let warm_fraction = entry.gauge.warm_fraction(settings, now);
        let hint_factor = 1.0 - entry.gauge.current_hint(now) * settings.hint_weight;
        f64::from(entry.record.slots.max(1)) * warm_fraction * hint_factor
    }

    /// Returns the endpoints in service that may take a request.
    fn candidates(&self, request: &PlaceRequest<'_>, now: Duration) -> Vec<two_choices::Candidate> {
        self.entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| is_eligible(entry, request) && !entry.gauge.is_ejected())
            .map(|(index, entry)| two_choices::Candidate {
                index,
                distance: entry.record.distance,
                effective_slots: self.effective_slots_of(entry, now),
                in_flight: entry.gauge.in_flight(),
            })
            .collect()
    }

    /// Returns the index of an endpoint whose ejection has run out, and claims its probe.
    fn claim_due_probe(&self, request: &PlaceRequest<'_>, now: Duration) -> Option<usize> {
        self.entries.iter().position(|entry| {
            request.may_probe
                && is_eligible(entry, request)
                && entry.gauge.is_probe_due(now)
                && entry.gauge.claim_probe()
        })
    }

    /// Places a request on an ejected endpoint before its ejection runs out, when no other is left:
    /// an early probe harms less than an error. The limit of one probe at a time still holds.
    fn place_on_ejected(
        self: &Arc<Self>,
        request: &PlaceRequest<'_>,
        now: Duration,
    ) -> Option<PlacedCall> {
        let index = self.entries.iter().position(|entry| {
            is_eligible(entry, request) && entry.gauge.is_ejected() && entry.gauge.claim_probe()
        })?;
        Some(PlacedCall::start(self, index, request, true, now))
    }

    /// Locks out other ejections. A lock poisoned by a panic is taken all the same.
    pub(crate) fn lock_ejection(&self) -> std::sync::MutexGuard<'_, ()> {
        self.ejection_lock.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a request may go to an endpoint, ejected or not.
fn is_eligible(entry: &TableEntry, request: &PlaceRequest<'_>) -> bool {
    !entry.gauge.is_leaving() && !request.exclude.contains(&entry.record.id)
}
