//! The allowances of all workspaces at one daemon.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use sk_decide::allowance::{
    AllowanceRate, FleetTracker, FleetView, HolderTerms, MemberPresence, OWNER_TIMEOUT,
    OwnerBucket, TakeStep, TokenGrant, choose_owner,
};
use tokio::{sync::mpsc, time::Instant};

use crate::{
    calls::{AllowanceAsk, AllowanceDesk, OwnerCall},
    entry::HolderEntry,
};

/// Calls that wait for the control thread. Beyond them requests are decided by this daemon's own
/// part at once.
const MAX_QUEUED_CALLS: usize = 256;
/// Time without a sign of life of this process after which another daemon may own its buckets. Others
/// suspect it after a longer silence.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_400);
/// Time after which the bucket of a workspace that another daemon owns is made anew.
const FOREIGN_LIFETIME: Duration = Duration::from_secs(1);

/// Answer to a request of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceVerdict {
    /// It may run.
    Granted,
    /// The workspace has used its allowance.
    Refused {
        /// Time after which the request may come back.
        retry_after: Duration,
    },
}

/// Counts of one workspace's requests at this daemon since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkspaceCounts {
    /// Requests that got a token.
    pub used: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that were decided by this daemon's own part, because the owner did not answer.
    pub fallback: u64,
    /// Tokens that were given back, because their requests did not run.
    pub given_back: u64,
    /// Repeats that reached another server.
    pub charged: u64,
}

/// Limit, owner and counts of one workspace.
pub type WorkspaceRow = (AllowanceRate, Option<Arc<str>>, WorkspaceCounts);

/// The allowances of all workspaces at one daemon: tokens of the workspaces whose requests it
/// receives, and buckets of those that it owns. Shared by the request path and the control thread.
pub struct AllowanceBook {
    own_name: Arc<str>,
    started_at: Instant,
    calls: mpsc::Sender<OwnerCall>,
    state: Mutex<BookState>,
}

/// A bucket that grants tokens here.
struct OpenBucket {
    bucket: OwnerBucket,
    /// Whether this daemon owns it. A holder that knows another fleet may ask another daemon.
    is_own: bool,
}

#[derive(Default)]
struct BookState {
    rates: HashMap<Arc<str>, AllowanceRate>,
    tracker: FleetTracker,
    fleet: FleetView,
    holders: HashMap<Arc<str>, HolderEntry>,
    buckets: HashMap<Arc<str>, OpenBucket>,
    /// Last sign of life of this process, if it gives any.
    alive_at: Option<Duration>,
    last_call: u64,
}

impl AllowanceBook {
    /// Creates the state of a daemon, and the queue of its calls to owners.
    pub fn new(own_name: &str) -> (Self, mpsc::Receiver<OwnerCall>) {
        let (calls, receiver) = mpsc::channel(MAX_QUEUED_CALLS);
        let (own_name, state) = (Arc::from(own_name), Mutex::default());
        (Self { own_name, started_at: Instant::now(), calls, state }, receiver)
    }

    /// Sets the limits of the configuration in force; workspaces without a limit are not listed.
    pub fn set_rates(&self, rates: HashMap<Arc<str>, AllowanceRate>) {
        let now = self.now();
        let mut state = self.lock();
        state.buckets.retain(|name, _| rates.contains_key(name));
        state.holders.retain(|name, _| rates.contains_key(name));
        state.rates = rates;
        state.apply_terms(&self.own_name, now);
    }

    /// Sets the members that this daemon knows, itself included.
    pub fn set_members<'a>(&self, members: impl Iterator<Item = (&'a str, MemberPresence)>) {
        let now = self.now();
        let mut state = self.lock();
        let fleet = state.tracker.observe(members, now);
        if fleet != state.fleet {
            state.fleet = fleet;
            state.apply_terms(&self.own_name, now);
        }
    }

    /// Records that this process runs. Without such a sign, which is due about every second, it counts
    /// as one that was suspended, and other daemons have taken over its buckets.
    pub fn record_alive(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.check_pause(now);
        state.alive_at = Some(now);
    }

    /// Takes a token for a request, from this daemon's tokens or from the owner. Without an answer
    /// of the owner within [`OWNER_TIMEOUT`] this daemon's own part of the rate decides.
    pub async fn take(&self, workspace: &str) -> AllowanceVerdict {
        let receiver = match self.begin_take(workspace) {
            Ok(verdict) => return verdict,
            Err(receiver) => receiver,
        };
        if let Ok(Ok(verdict)) = tokio::time::timeout(OWNER_TIMEOUT, receiver).await {
            return verdict;
        }
        let now = self.now();
        let mut state = self.lock();
        match state.holders.get_mut(workspace) {
            Some(entry) => entry.fall_back(now),
            // The limit was removed meanwhile.
            None => AllowanceVerdict::Granted,
        }
    }

    /// Returns a token of a request that did not run.
    pub fn give_back(&self, workspace: &str) {
        let now = self.now();
        if let Some(entry) = self.lock().holders.get_mut(workspace) {
            entry.counts.given_back += 1;
            entry.holder.give_back(now);
        }
    }

    /// Counts a repeat of a request that reached another server.
    pub fn charge(&self, workspace: &str) {
        let now = self.now();
        let mut state = self.lock();
        let Some(entry) = state.holders.get_mut(workspace) else { return };
        entry.counts.charged += 1;
        entry.holder.charge(now);
        self.ask_if_due(&mut state, workspace, now);
    }

    /// Returns the limits, owners and counts of all workspaces with a limit, by name.
    pub fn counts(&self) -> BTreeMap<Arc<str>, WorkspaceRow> {
        let state = self.lock();
        let row = |(name, rate): (&Arc<str>, &AllowanceRate)| {
            let counts = state.holders.get(name).map(|entry| entry.counts).unwrap_or_default();
            let owner = choose_owner(name, &state.fleet.alive).cloned();
            (name.clone(), (*rate, owner, counts))
        };
        state.rates.iter().map(row).collect()
    }

    /// Decides on a request at once where that is possible.
    ///
    /// # Errors
    ///
    /// Returns a receiver of the answer where the owner has to be asked.
    fn begin_take(
        &self,
        workspace: &str,
    ) -> Result<AllowanceVerdict, tokio::sync::oneshot::Receiver<AllowanceVerdict>> {
        let now = self.now();
        let mut state = self.lock();
        if !state.open_holder(workspace, now) {
            return Ok(AllowanceVerdict::Granted);
        }
        let Some(entry) = state.holders.get_mut(workspace) else {
            return Ok(AllowanceVerdict::Granted);
        };
        let was_silent = entry.holder.is_silent();
        let step = entry.holder.take(rand::random(), now);
        let result = match step {
            TakeStep::Ask if entry.owner.is_none() => Ok(entry.fall_back(now)),
            TakeStep::Ask => Err(entry.wait()),
            step => {
                entry.counts.fallback += u64::from(was_silent);
                Ok(entry.conclude(step, now))
            }
        };
        self.ask_if_due(&mut state, workspace, now);
        result
    }

    /// Asks the owner if that is due. An owner on this daemon answers at once.
    fn ask_if_due(&self, state: &mut BookState, workspace: &str, now: Duration) {
        let number = state.last_call + 1;
        let Some(entry) = state.holders.get_mut(workspace) else { return };
        let Some(owner) = entry.owner.clone().filter(|_| entry.is_ask_due(now)) else { return };
        let want = entry.begin_call(number, now);
        let ask = AllowanceAsk { workspace: entry.name.clone(), want };
        state.last_call = number;
        let call = OwnerCall { owner, ask, number };
        if call.owner == self.own_name {
            let grant = state.grant(&self.own_name, &self.own_name, &call.ask, now);
            state.conclude_call(&call, grant, now);
        } else if let Err(err) = self.calls.try_send(call) {
            state.conclude_call(&err.into_inner(), None, now);
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, BookState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AllowanceDesk for AllowanceBook {
    fn grant(&self, holder: &str, asks: &[AllowanceAsk]) -> Vec<Option<TokenGrant>> {
        let holder = Arc::from(holder);
        let now = self.now();
        let mut state = self.lock();
        asks.iter().map(|ask| state.grant(&self.own_name, &holder, ask, now)).collect()
    }

    fn deliver(&self, call: &OwnerCall, grant: Option<TokenGrant>) {
        let now = self.now();
        let mut state = self.lock();
        state.conclude_call(call, grant, now);
        self.ask_if_due(&mut state, &call.ask.workspace, now);
    }
}

impl BookState {
    /// Creates the holder's state of a workspace; returns false for one without a limit.
    fn open_holder(&mut self, workspace: &str, now: Duration) -> bool {
        if self.holders.contains_key(workspace) {
            return true;
        }
        let Some((name, rate)) = self.rates.get_key_value(workspace) else { return false };
        let terms = HolderTerms { rate: *rate, known: self.fleet.known };
        let mut entry = HolderEntry::new(name.clone(), terms, now);
        entry.set_owner(choose_owner(name, &self.fleet.alive).cloned());
        self.holders.insert(name.clone(), entry);
        true
    }

    /// Grants tokens of a workspace as its owner; `None` for one without a limit.
    fn grant(
        &mut self,
        own_name: &str,
        holder: &Arc<str>,
        ask: &AllowanceAsk,
        now: Duration,
    ) -> Option<TokenGrant> {
        self.check_pause(now);
        let (name, rate) = self.rates.get_key_value(&ask.workspace)?;
        let terms = self.fleet.owner_terms();
        let alive = &self.fleet.alive;
        let open = self.buckets.entry(name.clone()).or_insert_with(|| OpenBucket {
            bucket: OwnerBucket::new(*rate, terms, now),
            is_own: is_owner(own_name, name, alive),
        });
        // While the owner grants tokens, this bucket must not fill.
        if !open.is_own && open.bucket.idle_time(now) >= FOREIGN_LIFETIME {
            open.bucket = OwnerBucket::new(*rate, terms, now);
        }
        Some(open.bucket.grant(holder, ask.want, now))
    }

    /// Applies the owner's answer to a call.
    fn conclude_call(&mut self, call: &OwnerCall, grant: Option<TokenGrant>, now: Duration) {
        let Some(entry) = self.holders.get_mut(&call.ask.workspace) else { return };
        let is_current = entry.pending.is_some_and(|pending| pending.number == call.number);
        if is_current {
            entry.pending = None;
        }
        match grant {
            Some(grant) => entry.receive(call.ask.want, grant, now),
            None if is_current => entry.record_silence(call.ask.want, now),
            None => (),
        }
    }

    /// Drops the buckets of a process that was suspended. Others have granted their tokens meanwhile.
    fn check_pause(&mut self, now: Duration) {
        let was_paused = |at: &Duration| now.saturating_sub(*at) >= LONGEST_PAUSE;
        if self.alive_at.take_if(|at| was_paused(at)).is_some() {
            self.buckets.clear();
        }
    }

    /// Applies changed limits or members to all workspaces. Only the buckets remain that this daemon
    /// owned before as well: while another one owns a bucket, that one grants its tokens.
    fn apply_terms(&mut self, own_name: &str, now: Duration) {
        let alive = &self.fleet.alive;
        self.buckets.retain(|name, open| open.is_own && is_owner(own_name, name, alive));
        let (known, terms) = (self.fleet.known, self.fleet.owner_terms());
        for (name, entry) in &mut self.holders {
            if let Some(rate) = self.rates.get(name) {
                entry.holder.set_terms(HolderTerms { rate: *rate, known }, now);
            }
            entry.set_owner(choose_owner(name, &self.fleet.alive).cloned());
        }
        for (name, open) in &mut self.buckets {
            if let Some(rate) = self.rates.get(name) {
                open.bucket.set_terms(*rate, terms, now);
            }
        }
    }
}

/// Returns whether a daemon owns the bucket of a workspace.
fn is_owner(daemon: &str, workspace: &str, alive: &[Arc<str>]) -> bool {
    choose_owner(workspace, alive).is_some_and(|owner| &**owner == daemon)
}
