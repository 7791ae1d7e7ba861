//! Observers' words about daemons that they do not hear.

use std::{collections::BTreeMap, time::Duration};

use sk_model::ProxyId;

use crate::{MemberRecord, MemberSuspicion, MemberView};

/// Words kept at most: one for each link of 780 daemons, twice. Memory stays within about 2 MB
/// whatever peers send; a word beyond it is dropped and not passed on.
const MAX_WORDS: usize = 8_192;

#[derive(Debug)]
struct BookedWord {
    word: MemberSuspicion,
    noted: Duration,
}

/// The newest word of each observer about each daemon.
#[derive(Debug, Default)]
pub(crate) struct SuspicionBook {
    words: BTreeMap<ProxyId, BTreeMap<ProxyId, BookedWord>>,
    len: usize,
    revision: u64,
}

impl SuspicionBook {
    /// Notes a word and tells whether it was new.
    pub(crate) fn note(&mut self, word: MemberSuspicion, now: Duration) -> bool {
        let held = self.words.get(&word.proxy).and_then(|words| words.get(&word.observer));
        match held {
            Some(held) if held.word.round >= word.round => return false,
            None if self.len >= MAX_WORDS => return false,
            None => self.len += 1,
            Some(_) => (),
        }
        self.revision += 1;
        let words = self.words.entry(word.proxy.clone()).or_default();
        words.insert(word.observer.clone(), BookedWord { word, noted: now });
        true
    }

    /// Forgets words older than `ttl`. Withdrawn ones stay as long as others, so that a late
    /// copy of the word they take back finds them.
    pub(crate) fn expire(&mut self, now: Duration, ttl: Duration) {
        for words in self.words.values_mut() {
            words.retain(|_, booked| now.saturating_sub(booked.noted) < ttl);
        }
        self.words.retain(|_, words| !words.is_empty());
        let len = self.words.values().map(BTreeMap::len).sum();
        self.revision += u64::from(len != self.len);
        self.len = len;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Grows with each change of the book.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Gives who accuses whom, as far as the words are about the records that hold now.
    pub(crate) fn accusers<'a>(
        &'a self,
        view: &'a MemberView,
    ) -> BTreeMap<&'a ProxyId, Vec<&'a ProxyId>> {
        let mut accusers = BTreeMap::new();
        for (proxy, words) in &self.words {
            let Some(record) = view.get(proxy).filter(|record| record.is_running()) else {
                continue;
            };
            let is_live = |booked: &&BookedWord| is_live(&booked.word, record, view);
            let live = words.values().filter(is_live).map(|booked| &booked.word.observer);
            let observers: Vec<&ProxyId> = live.collect();
            if !observers.is_empty() {
                accusers.insert(proxy, observers);
            }
        }
        accusers
    }
}

// A word about an older sequence is answered: the owner has spoken since.
fn is_live(word: &MemberSuspicion, record: &MemberRecord, view: &MemberView) -> bool {
    let is_running = view.get(&word.observer).is_some_and(|observer| observer.is_running());
    let is_current = (word.incarnation, word.sequence) == (record.incarnation, record.sequence);
    !word.is_withdrawn && is_running && is_current
}
