//! A naive daemon: it removes every daemon that it does not hear, and keeps the record that
//! arrived last.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use sk_member::{MemberRecord, MemberStatus, choose_links};

use super::{
    network::{FakeBelief, FakeMessage, FakePolicy},
    snapshot_of,
};

const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

pub struct NaiveNode {
    own: Arc<MemberRecord>,
    records: BTreeMap<String, Arc<MemberRecord>>,
    heard: BTreeMap<String, Duration>,
    links: BTreeSet<String>,
    sent: Vec<(String, FakeMessage)>,
}

impl NaiveNode {
    fn flood(&mut self, message: &FakeMessage, from: Option<&str>) {
        let links = self.links.iter().filter(|link| Some(link.as_str()) != from);
        self.sent.extend(links.map(|link| (link.clone(), message.clone())));
    }

    fn store(&mut self, from: &str, record: Arc<MemberRecord>) {
        let previous = self.records.insert(record.proxy.clone(), record.clone());
        if previous.as_ref() != Some(&record) {
            self.flood(&FakeMessage::Record(record), Some(from));
        }
    }

    fn remove(&mut self, proxy: &str, from: Option<&str>) {
        if proxy != self.own.proxy && self.records.remove(proxy).is_some() {
            self.heard.remove(proxy);
            self.flood(&FakeMessage::Removed(proxy.to_owned()), from);
        }
    }
}

impl FakePolicy for NaiveNode {
    fn start(own: Arc<MemberRecord>, known: &[Arc<MemberRecord>]) -> Self {
        let all = known.iter().chain([&own]).cloned();
        let records = BTreeMap::clone(&snapshot_of(all.clone()));
        let snapshot = snapshot_of(all);
        let mut links: BTreeSet<String> = choose_links(&snapshot, &own.proxy).into_iter().collect();
        let links_to_own =
            |proxy: &&String| choose_links(&snapshot, proxy).iter().any(|link| *link == own.proxy);
        links.extend(snapshot.keys().filter(links_to_own).cloned());
        let heard = links.iter().map(|link| (link.clone(), Duration::ZERO)).collect();
        Self { own, records, heard, links, sent: Vec::new() }
    }

    fn neighbours(&self) -> Vec<String> {
        self.links.iter().cloned().collect()
    }

    fn heard(&mut self, from: &str, now: Duration) {
        if let Some(heard) = self.heard.get_mut(from) {
            *heard = now;
        }
    }

    fn connection_reset(&mut self, from: &str, _: Duration) {
        self.remove(from, None);
    }

    fn tick(&mut self, now: Duration) {
        let is_silent = |(_, heard): &(&String, &Duration)| now - **heard >= SILENCE_TIMEOUT;
        let silent = self.heard.iter().filter(is_silent).map(|(proxy, _)| proxy.clone());
        for proxy in silent.collect::<Vec<_>>() {
            self.remove(&proxy, None);
        }
    }

    fn receive(&mut self, from: &str, message: FakeMessage, _: Duration) {
        match message {
            FakeMessage::Record(record) => self.store(from, record),
            FakeMessage::Removed(proxy) => self.remove(&proxy, Some(from)),
            FakeMessage::Records(records, ..) => {
                // Not passed on, because two copies would replace each other without end.
                let named = records.into_iter().map(|record| (record.proxy.clone(), record));
                self.records.extend(named);
            }
            _ => (),
        }
    }

    fn outgoing(&mut self) -> Vec<(String, FakeMessage)> {
        std::mem::take(&mut self.sent)
    }

    fn repair(&mut self) -> FakeMessage {
        FakeMessage::Records(self.records.values().cloned().collect(), Vec::new(), false)
    }

    fn drain(&mut self) {
        let record = MemberRecord { status: MemberStatus::Leaving, ..(*self.own).clone() };
        self.own = Arc::new(record);
        self.records.insert(self.own.proxy.clone(), self.own.clone());
        self.flood(&FakeMessage::Record(self.own.clone()), None);
    }

    fn belief(&self, proxy: &str) -> FakeBelief {
        match self.records.get(proxy).map(|record| record.status) {
            None => FakeBelief::Gone,
            Some(MemberStatus::Leaving | MemberStatus::Gone) => FakeBelief::Avoided,
            Some(_) => FakeBelief::Usable,
        }
    }

    fn incarnation(&self, proxy: &str) -> u64 {
        self.records.get(proxy).map_or(0, |record| record.incarnation)
    }
}
