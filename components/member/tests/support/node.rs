//! A daemon that decides with this crate.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use sk_member::{
    LivenessMonitor, LocalReachability, MemberRecord, MemberRumor, MemberSnapshot, MemberStatus,
    MemberTable, MergeOutcome, MonitorEvent, MonitorOptions, RumorQueue,
};

use super::network::{FakeBelief, FakeMessage, FakePolicy};

const BATCH_SIZE: usize = 64;

pub struct MemberNode {
    pub table: MemberTable,
    pub suspected: Vec<String>,
    monitor: LivenessMonitor,
    queue: RumorQueue,
    snapshot: MemberSnapshot,
    neighbours: BTreeSet<String>,
    replies: Vec<(String, FakeMessage)>,
}

impl MemberNode {
    fn publish(&mut self, now: Duration) {
        self.snapshot = Arc::new(self.table.records().clone());
        let plan = self.monitor.plan(&self.snapshot);
        let own = &self.table.own().proxy;
        let wanted: BTreeSet<String> = plan.neighbours(own).cloned().collect();
        for link in self.neighbours.difference(&wanted) {
            self.queue.remove_link(link);
        }
        for link in wanted.difference(&self.neighbours) {
            self.queue.add_link(link.clone());
        }
        if wanted != self.neighbours {
            self.monitor.set_neighbours(wanted.clone(), now);
            self.neighbours = wanted;
        }
    }

    fn spread_own(&mut self, now: Duration) {
        self.publish(now);
        self.queue.push(&MemberRumor::Record(self.table.own().clone()), None);
    }

    fn merge(&mut self, from: &str, records: Vec<Arc<MemberRecord>>, now: Duration) {
        let mut newer = Vec::new();
        for record in records {
            match self.table.merge(record.clone()) {
                MergeOutcome::Newer => newer.push((record, Some(from.to_owned()))),
                MergeOutcome::Refuted => newer.push((self.table.own().clone(), None)),
                _ => (),
            }
        }
        if !newer.is_empty() {
            self.publish(now);
        }
        for (record, from) in newer {
            self.queue.push(&MemberRumor::Record(record), from.as_ref());
        }
    }

    fn apply_event(&mut self, event: MonitorEvent, now: Duration) {
        match event {
            MonitorEvent::SendSuspicion(suspicion) => {
                if !suspicion.is_withdrawn {
                    self.suspected.push(suspicion.proxy.clone());
                }
                self.queue.push(&MemberRumor::Suspicion(suspicion), None);
            }
            MonitorEvent::Gone { proxy, incarnation, sequence } => {
                if self.table.declare_gone(&proxy, incarnation, sequence) {
                    self.publish(now);
                }
            }
            MonitorEvent::MarksChanged(_) => (),
            MonitorEvent::Paused(_) => {
                self.table.withdraw_endpoints();
                self.spread_own(now);
            }
        }
    }
}

impl FakePolicy for MemberNode {
    fn start(own: Arc<MemberRecord>, known: &[Arc<MemberRecord>]) -> Self {
        let mut table = MemberTable::new(MemberRecord::clone(&own));
        for record in known {
            table.merge(record.clone());
        }
        let options = MonitorOptions::default();
        let mut node = Self {
            monitor: LivenessMonitor::new(own.proxy.clone(), own.incarnation, options),
            queue: RumorQueue::new(),
            snapshot: MemberSnapshot::default(),
            neighbours: BTreeSet::new(),
            replies: Vec::new(),
            suspected: Vec::new(),
            table,
        };
        node.publish(Duration::ZERO);
        node
    }

    fn neighbours(&self) -> Vec<String> {
        self.neighbours.iter().cloned().collect()
    }

    fn heard(&mut self, from: &str, now: Duration) {
        self.monitor.record_heard(from, now);
    }

    fn connection_reset(&mut self, from: &str, now: Duration) {
        self.monitor.record_reset(from, now);
    }

    fn tick(&mut self, now: Duration) {
        for event in self.monitor.tick(&self.snapshot.clone(), now) {
            self.apply_event(event, now);
        }
    }

    fn receive(&mut self, from: &str, message: FakeMessage, now: Duration) {
        let own = self.table.own().proxy.clone();
        match message {
            FakeMessage::Record(record) => self.merge(from, vec![record], now),
            FakeMessage::Suspicion(suspicion) if self.table.refute(&suspicion) => {
                self.spread_own(now)
            }
            FakeMessage::Suspicion(suspicion)
                if suspicion.proxy != own && self.monitor.add_suspicion(suspicion.clone(), now) =>
            {
                self.queue.push(&MemberRumor::Suspicion(suspicion), Some(&from.to_owned()));
            }
            FakeMessage::Digest(digest) => {
                let buckets = self.table.digest().differing_buckets(&digest);
                let records = self.table.records_in(&buckets);
                let reply = FakeMessage::Records(records, buckets, true);
                self.replies.push((from.to_owned(), reply));
            }
            FakeMessage::Records(records, buckets, is_reply_wanted) => {
                self.merge(from, records, now);
                if is_reply_wanted && !buckets.is_empty() {
                    let records = self.table.records_in(&buckets);
                    let reply = FakeMessage::Records(records, buckets, false);
                    self.replies.push((from.to_owned(), reply));
                }
            }
            _ => (),
        }
    }

    fn outgoing(&mut self) -> Vec<(String, FakeMessage)> {
        let mut sent = std::mem::take(&mut self.replies);
        for link in &self.neighbours {
            if self.queue.take_digest_request(link) {
                sent.push((link.clone(), FakeMessage::Digest(self.table.digest().clone())));
            }
            sent.extend(self.queue.take(link, BATCH_SIZE).into_iter().map(|rumor| {
                let message = match rumor {
                    MemberRumor::Record(record) => FakeMessage::Record(record),
                    MemberRumor::Suspicion(suspicion) => FakeMessage::Suspicion(suspicion),
                };
                (link.clone(), message)
            }));
        }
        sent
    }

    fn repair(&mut self) -> FakeMessage {
        FakeMessage::Digest(self.table.digest().clone())
    }

    fn drain(&mut self) {
        self.table.set_status(MemberStatus::Leaving);
        self.spread_own(Duration::ZERO);
    }

    fn belief(&self, proxy: &str) -> FakeBelief {
        let mark = self.monitor.marks().get(proxy);
        match self.table.records().get(proxy).map(|record| record.status) {
            None => FakeBelief::Unknown,
            Some(MemberStatus::Gone) => FakeBelief::Gone,
            Some(MemberStatus::Leaving) => FakeBelief::Avoided,
            Some(_) if mark == Some(&LocalReachability::Unreachable) => FakeBelief::Avoided,
            Some(_) => FakeBelief::Usable,
        }
    }

    fn incarnation(&self, proxy: &str) -> u64 {
        self.table.records().get(proxy).map_or(0, |record| record.incarnation)
    }
}
