//! Listening to the neighbours in the overlay.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sk_model::ProxyId;

use crate::{Incarnation, MemberView, MonitorOptions};

/// Longest time before a neighbour that answered an accusation, but is not heard over the link,
/// is accused again. Each accusation makes it raise its sequence, which travels to all; a link
/// that stays broken in one direction costs one such round a minute.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct NeighbourState {
    heard: Duration,
    lost: Option<Duration>,
    incarnation: Option<Incarnation>,
    accused: Option<GivenWord>,
    quiet_until: Duration,
    backoff: Duration,
}

#[derive(Debug)]
struct GivenWord {
    incarnation: Incarnation,
    sequence: u64,
    renew_at: Duration,
}

/// A word that this daemon is to give.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct DueWord {
    pub(crate) proxy: ProxyId,
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) is_withdrawn: bool,
}

/// When each neighbour was last heard.
#[derive(Debug, Default)]
pub(crate) struct NeighbourWatch {
    neighbours: BTreeMap<ProxyId, NeighbourState>,
    withdrawn: Vec<DueWord>,
}

impl NeighbourWatch {
    pub(crate) fn set_neighbours(
        &mut self,
        wanted: BTreeSet<ProxyId>,
        now: Duration,
        options: &MonitorOptions,
    ) {
        self.neighbours.retain(|proxy, _| wanted.contains(proxy));
        for proxy in wanted {
            self.neighbours.entry(proxy).or_insert_with(|| NeighbourState::new(now, options));
        }
    }

    pub(crate) fn heard(&mut self, proxy: &str, now: Duration, options: &MonitorOptions) {
        let Some(state) = self.neighbours.get_mut(proxy) else { return };
        state.heard = now;
        state.lost = None;
        state.backoff = options.suspect;
        if let Some(given) = state.accused.take() {
            self.withdrawn.push(DueWord {
                proxy: proxy.to_owned(),
                incarnation: given.incarnation,
                sequence: given.sequence,
                is_withdrawn: true,
            });
        }
    }

    pub(crate) fn lost(&mut self, proxy: &str, now: Duration) {
        if let Some(state) = self.neighbours.get_mut(proxy) {
            state.lost.get_or_insert(now);
        }
    }

    /// Starts all waiting anew.
    pub(crate) fn reset(&mut self, now: Duration) {
        for state in self.neighbours.values_mut() {
            state.heard = now;
            state.lost = None;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.neighbours.is_empty()
    }

    /// Lists the neighbours with whether each is silent.
    pub(crate) fn states(
        &self,
        now: Duration,
        options: &MonitorOptions,
    ) -> impl Iterator<Item = (&ProxyId, bool)> {
        let is_silent = move |state: &NeighbourState| state.is_silent(now, options);
        self.neighbours.iter().map(move |(proxy, state)| (proxy, is_silent(state)))
    }

    /// Gives the words that are due.
    pub(crate) fn due_words(
        &mut self,
        view: &MemberView,
        now: Duration,
        options: &MonitorOptions,
    ) -> Vec<DueWord> {
        let mut due = std::mem::take(&mut self.withdrawn);
        for (proxy, state) in &mut self.neighbours {
            let Some(record) = view.get(proxy).filter(|record| record.is_running()) else {
                continue;
            };
            state.follow(record.incarnation, record.sequence, now, options);
            if state.is_due(now, options) {
                state.accused = Some(GivenWord {
                    incarnation: record.incarnation,
                    sequence: record.sequence,
                    renew_at: now + options.word_ttl / 2,
                });
                due.push(DueWord {
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
            heard: now,
            lost: None,
            incarnation: None,
            accused: None,
            quiet_until: now,
            backoff: options.suspect,
        }
    }

    fn is_silent(&self, now: Duration, options: &MonitorOptions) -> bool {
        let deadline = match self.lost {
            Some(lost) => (lost + options.lost_grace).min(self.heard + options.suspect),
            None => self.heard + options.suspect,
        };
        now >= deadline
    }

    fn is_due(&self, now: Duration, options: &MonitorOptions) -> bool {
        match &self.accused {
            Some(given) => now >= given.renew_at,
            None => now >= self.quiet_until && self.is_silent(now, options),
        }
    }

    /// Takes notice of what the neighbour says of itself by way of others.
    fn follow(
        &mut self,
        incarnation: Incarnation,
        sequence: u64,
        now: Duration,
        options: &MonitorOptions,
    ) {
        // A new process: what was heard or lost was the old one's.
        if self.incarnation.replace(incarnation).is_some_and(|known| known != incarnation) {
            *self = Self { incarnation: Some(incarnation), ..Self::new(now, options) };
        }
        // It answered the accusation: it runs, though this daemon does not hear it. Accusing it
        // again at once would make it answer again, for as long as the link is broken.
        let given = self.accused.take_if(|given| given.sequence != sequence);
        if given.is_some() {
            self.quiet_until = now + self.backoff;
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
    }
}
