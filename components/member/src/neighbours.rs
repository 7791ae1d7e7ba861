//! Tracking when each neighbour in the overlay was last heard, and which suspicions that leads to.
//!
//! Suspicions are sent to the whole fleet. A neighbour that refutes a suspicion is therefore
//! suspected again only after a growing delay, so that a link which fails in one direction does
//! not flood the fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sk_model::ProxyId;

use crate::{Incarnation, MemberSnapshot, MonitorOptions};

/// Longest delay before a neighbour that refuted a suspicion but is still not heard over the link
/// is suspected again. Each suspicion makes the neighbour raise its sequence, which is sent to all
/// daemons; a link that stays broken in one direction costs one such round each minute.
const MAX_SUSPICION_BACKOFF: Duration = Duration::from_secs(60);

/// When a neighbour was last heard, and what this daemon has reported about it.
#[derive(Debug)]
struct NeighbourState {
    heard_at: Duration,
    reset_at: Option<Duration>,
    incarnation: Option<Incarnation>,
    sent_suspicion: Option<SentSuspicion>,
    suspect_after: Duration,
    backoff: Duration,
}

/// A suspicion that this daemon has sent and not withdrawn.
#[derive(Debug)]
struct SentSuspicion {
    incarnation: Incarnation,
    sequence: u64,
    renew_at: Duration,
}

/// A suspicion or withdrawal that this daemon has to send.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct DueSuspicion {
    pub(crate) proxy: ProxyId,
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) is_withdrawn: bool,
}

/// The state of each neighbour, and the withdrawals that wait to be sent.
#[derive(Debug, Default)]
pub(crate) struct NeighbourTracker {
    neighbours: BTreeMap<ProxyId, NeighbourState>,
    due_withdrawals: Vec<DueSuspicion>,
}

impl NeighbourTracker {
    /// Replaces the neighbours to track. Known ones keep their state.
    pub(crate) fn set_neighbours(
        &mut self,
        wanted_neighbours: BTreeSet<ProxyId>,
        now: Duration,
        options: &MonitorOptions,
    ) {
        self.neighbours.retain(|proxy, _| wanted_neighbours.contains(proxy));
        for proxy in wanted_neighbours {
            self.neighbours.entry(proxy).or_insert_with(|| NeighbourState::new(now, options));
        }
    }

    /// Records that a neighbour was heard, and queues the withdrawal of a suspicion sent before.
    pub(crate) fn record_heard(&mut self, proxy: &str, now: Duration, options: &MonitorOptions) {
        let Some(state) = self.neighbours.get_mut(proxy) else { return };
        state.heard_at = now;
        state.reset_at = None;
        state.backoff = options.silence_timeout;
        if let Some(sent) = state.sent_suspicion.take() {
            self.due_withdrawals.push(DueSuspicion {
                proxy: proxy.to_owned(),
                incarnation: sent.incarnation,
                sequence: sent.sequence,
                is_withdrawn: true,
            });
        }
    }

    /// Records the first reset of the connection since the neighbour was last heard.
    pub(crate) fn record_reset(&mut self, proxy: &str, now: Duration) {
        if let Some(state) = self.neighbours.get_mut(proxy) {
            state.reset_at.get_or_insert(now);
        }
    }

    /// Restarts the silence timers of all neighbours.
    pub(crate) fn restart_timers(&mut self, now: Duration) {
        for state in self.neighbours.values_mut() {
            state.heard_at = now;
            state.reset_at = None;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.neighbours.is_empty()
    }

    /// Returns the neighbours, each with whether it is silent.
    pub(crate) fn silence_states(
        &self,
        now: Duration,
        options: &MonitorOptions,
    ) -> impl Iterator<Item = (&ProxyId, bool)> {
        let is_silent = move |state: &NeighbourState| state.is_silent(now, options);
        self.neighbours.iter().map(move |(proxy, state)| (proxy, is_silent(state)))
    }

    /// Returns the suspicions and withdrawals that are due, and marks them as sent.
    pub(crate) fn due_suspicions(
        &mut self,
        snapshot: &MemberSnapshot,
        now: Duration,
        options: &MonitorOptions,
    ) -> Vec<DueSuspicion> {
        let mut due = std::mem::take(&mut self.due_withdrawals);
        for (proxy, state) in &mut self.neighbours {
            let Some(record) = snapshot.get(proxy).filter(|record| record.is_running()) else {
                continue;
            };
            state.observe_record(record.incarnation, record.sequence, now, options);
            if state.is_due(now, options) {
                state.sent_suspicion = Some(SentSuspicion {
                    incarnation: record.incarnation,
                    sequence: record.sequence,
                    renew_at: now + options.suspicion_ttl / 2,
                });
                due.push(DueSuspicion {
                    proxy: proxy.clone(),
                    incarnation: record.incarnation,
                    sequence: record.sequence,
                    is_withdrawn: false,
                });
            }
        }
        due
    }
}

impl NeighbourState {
    fn new(now: Duration, options: &MonitorOptions) -> Self {
        Self {
            heard_at: now,
            reset_at: None,
            incarnation: None,
            sent_suspicion: None,
            suspect_after: now,
            backoff: options.silence_timeout,
        }
    }

    /// Returns whether the neighbour was not heard for too long, or for a shorter time after a
    /// reset of its connection.
    fn is_silent(&self, now: Duration, options: &MonitorOptions) -> bool {
        let deadline = match self.reset_at {
            Some(reset_at) => {
                (reset_at + options.reset_timeout).min(self.heard_at + options.silence_timeout)
            }
            None => self.heard_at + options.silence_timeout,
        };
        now >= deadline
    }

    /// Returns whether a suspicion has to be sent for the first time or renewed.
    fn is_due(&self, now: Duration, options: &MonitorOptions) -> bool {
        match &self.sent_suspicion {
            Some(sent) => now >= sent.renew_at,
            None => now >= self.suspect_after && self.is_silent(now, options),
        }
    }

    /// Updates the state from a record of the neighbour that arrived through other daemons.
    fn observe_record(
        &mut self,
        incarnation: Incarnation,
        sequence: u64,
        now: Duration,
        options: &MonitorOptions,
    ) {
        // A new process: what was heard and which connections were reset concerned the old one.
        if self.incarnation.replace(incarnation).is_some_and(|known| known != incarnation) {
            *self = Self { incarnation: Some(incarnation), ..Self::new(now, options) };
        }
        // The neighbour refuted the suspicion: it runs, although this daemon does not hear it.
        // Suspecting it again at once would make it refute again for as long as the link is
        // broken.
        let sent = self.sent_suspicion.take_if(|sent| sent.sequence != sequence);
        if sent.is_some() {
            self.suspect_after = now + self.backoff;
            self.backoff = (self.backoff * 2).min(MAX_SUSPICION_BACKOFF);
        }
    }
}
