//! A simulated network that advances in steps of 50 ms; every message sent in one step arrives in
//! the next.

use std::{collections::BTreeMap, collections::BTreeSet, sync::Arc, time::Duration};

use sk_member::{MemberDigest, MemberRecord, MemberSuspicion};

/// Longer than one transit between regions together with the wait for a batch.
pub const STEP: Duration = Duration::from_millis(50);
/// Largest number of messages in one step. More indicate a flood that never ends and would fill
/// the memory.
const MAX_SENT_PER_STEP: usize = 1_000_000;
const TICK_STEPS: u64 = 2;
const HEARTBEAT_STEPS: u64 = 10;
const REPAIR_STEPS: u64 = 40;

#[derive(Clone, Debug)]
pub enum FakeMessage {
    Heartbeat,
    /// The kernel reports that the connection to the sender was reset.
    Reset,
    Record(Arc<MemberRecord>),
    Suspicion(MemberSuspicion),
    /// Removal of a daemon, as decided by one observer of the naive implementation.
    Removed(String),
    Digest(MemberDigest),
    /// Records of some buckets, and whether the sender asks for those of the receiver.
    Records(Vec<Arc<MemberRecord>>, Vec<usize>, bool),
}

/// What a daemon assumes about another for routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FakeBelief {
    Usable,
    /// Known, but gets no new work.
    Avoided,
    Gone,
    Unknown,
}

/// The decisions of one daemon, as made by this crate or by the naive implementation.
pub trait FakePolicy {
    fn start(own: Arc<MemberRecord>, known: &[Arc<MemberRecord>]) -> Self;
    fn neighbours(&self) -> Vec<String>;
    fn heard(&mut self, from: &str, now: Duration);
    fn connection_reset(&mut self, from: &str, now: Duration);
    fn tick(&mut self, now: Duration);
    fn receive(&mut self, from: &str, message: FakeMessage, now: Duration);
    fn outgoing(&mut self) -> Vec<(String, FakeMessage)>;
    fn repair(&mut self) -> FakeMessage;
    fn drain(&mut self);
    fn belief(&self, proxy: &str) -> FakeBelief;
    fn incarnation(&self, proxy: &str) -> u64;
}

pub struct FakeNetwork<P> {
    pub nodes: BTreeMap<String, P>,
    pub paused: BTreeSet<String>,
    /// Returns whether messages from the first daemon to the second are lost.
    pub is_cut: fn(&str, &str) -> bool,
    /// Rumors sent so far, by sender.
    pub sent: BTreeMap<String, usize>,
    inbox: BTreeMap<String, Vec<(String, FakeMessage)>>,
    step: u64,
}

impl<P: FakePolicy> FakeNetwork<P> {
    pub fn new(records: &[Arc<MemberRecord>]) -> Self {
        let start = |own: &Arc<MemberRecord>| (own.proxy.clone(), P::start(own.clone(), records));
        Self {
            nodes: records.iter().map(start).collect(),
            paused: BTreeSet::new(),
            is_cut: |_, _| false,
            sent: BTreeMap::new(),
            inbox: BTreeMap::new(),
            step: 0,
        }
    }

    pub fn now(&self) -> Duration {
        STEP * self.step as u32
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now() + time;
        while self.now() < end {
            self.advance();
        }
    }

    /// Runs until the condition holds, and returns the time that took.
    pub fn run_until(&mut self, timeout: Duration, is_done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now();
        while !is_done(self) {
            assert!(self.now() - start < timeout, "not done after {timeout:?}");
            self.advance();
        }
        self.now() - start
    }

    /// Ends a process; `is_reset` tells whether the kernel of its instance still resets its
    /// connections.
    pub fn crash(&mut self, proxy: &str, is_reset: bool) {
        self.nodes.remove(proxy);
        self.inbox.remove(proxy);
        let names: Vec<String> = self.nodes.keys().filter(|_| is_reset).cloned().collect();
        for name in names {
            self.send(proxy, &name, FakeMessage::Reset);
        }
    }

    /// Starts a process that knows the address of one other daemon.
    pub fn join(&mut self, own: MemberRecord, contact: &str) {
        let proxy = own.proxy.clone();
        let mut node = P::start(Arc::new(own), &[]);
        let digest = node.repair();
        self.nodes.insert(proxy.clone(), node);
        self.send(&proxy, contact, digest);
    }

    /// Counts the other running daemons that assume `belief` about a daemon.
    pub fn count(&self, proxy: &str, belief: FakeBelief) -> usize {
        let others = self.nodes.iter().filter(|(name, _)| *name != proxy);
        others.filter(|(_, node)| node.belief(proxy) == belief).count()
    }

    fn advance(&mut self) {
        self.step += 1;
        let (now, step) = (self.now(), self.step);
        let mut inbox = std::mem::take(&mut self.inbox);
        let mut outgoing = Vec::new();
        for (offset, (name, node)) in self.nodes.iter_mut().enumerate() {
            // The peers have closed the connections of a paused process, and lost what they sent
            // over them.
            if self.paused.contains(name) {
                inbox.remove(name);
                continue;
            }
            // The tick comes first: a process that resumes reads its clock before its messages.
            let offset = offset as u64 + step;
            if offset.is_multiple_of(TICK_STEPS) {
                node.tick(now);
            }
            for (from, message) in inbox.remove(name).unwrap_or_default() {
                if let FakeMessage::Reset = message {
                    node.connection_reset(&from, now);
                    continue;
                }
                node.heard(&from, now);
                node.receive(&from, message, now);
            }
            let mut sent = node.outgoing();
            *self.sent.entry(name.clone()).or_default() += sent.len();
            let neighbours = node.neighbours();
            if offset.is_multiple_of(HEARTBEAT_STEPS) {
                sent.extend(neighbours.iter().map(|to| (to.clone(), FakeMessage::Heartbeat)));
            }
            if offset.is_multiple_of(REPAIR_STEPS) && !neighbours.is_empty() {
                let to = &neighbours[(step / REPAIR_STEPS) as usize % neighbours.len()];
                sent.push((to.clone(), node.repair()));
            }
            outgoing.extend(sent.into_iter().map(|(to, message)| (name.clone(), to, message)));
        }
        assert!(outgoing.len() < MAX_SENT_PER_STEP, "a flood of {} messages", outgoing.len());
        for (from, to, message) in outgoing {
            self.send(&from, &to, message);
        }
    }

    fn send(&mut self, from: &str, to: &str, message: FakeMessage) {
        if self.nodes.contains_key(to) && !(self.is_cut)(from, to) {
            self.inbox.entry(to.to_owned()).or_default().push((from.to_owned(), message));
        }
    }
}
