//! Finding the fleet: through seeds in the settings and contacts kept in the platform.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use capnp::Error;
use futures::future::join_all;
use rand::seq::IteratorRandom;
use tokio::sync::watch;

use crate::{
    backoff::{RetryPause, drawn, jittered},
    connect::open_session,
    node::{CALL_TIMEOUT, SpreadNode},
};

/// Addresses tried at once. Lists may name a whole fleet; a few that answer are enough.
const MAX_ADDRESSES: usize = 8;
/// First and longest pause between tries while no other daemon is known.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Mean pause between tries of addresses that are not known as members. After a long cut two
/// halves of a fleet may each have forgotten the other; this finds it again.
const STRANGER_PAUSE: Duration = Duration::from_secs(15);
/// Shortest pause between writes of contacts, per relay.
const CONTACT_PAUSE: Duration = Duration::from_secs(10);
/// The same while this daemon knows no other one: it may stand beside others that start too.
const LONELY_PAUSE: Duration = Duration::from_secs(2);
/// Contacts kept for each data centre. Some of them outlive any failure short of the loss of the
/// data centre, and reading them all stays one small call.
const MAX_CONTACTS: usize = 8;

/// How far joining has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JoinStage {
    /// No address was tried yet.
    Trying,
    /// There is no address to try.
    Alone,
    /// Addresses were tried and none answered.
    Unreached,
    /// Another daemon is known.
    Met,
}

/// Looks for other daemons while none is known, and now and then for strangers.
pub(crate) async fn join_fleet(node: &Rc<SpreadNode>, stage: &watch::Sender<JoinStage>) {
    let mut pause = RetryPause::new(FIRST_PAUSE, LONGEST_PAUSE);
    loop {
        if !node.others().is_empty() {
            stage.send_replace(JoinStage::Met);
            pause.reset();
            tokio::time::sleep(jittered(STRANGER_PAUSE)).await;
            meet_strangers(node).await;
            continue;
        }
        let mut addresses = other_seeds(node);
        if !try_addresses(node, &addresses).await {
            let contacts = read_contacts(node).await;
            try_addresses(node, &contacts).await;
            addresses.extend(contacts);
        }
        let is_met = !node.others().is_empty();
        stage.send_replace(match is_met {
            true => JoinStage::Met,
            false if addresses.is_empty() => JoinStage::Alone,
            false => JoinStage::Unreached,
        });
        if !is_met {
            // Another daemon may come to know this one meanwhile, which ends the wait too.
            let mut views = node.members.subscribe();
            let met = views.wait_for(|view| view.len() > 1);
            let _ = tokio::time::timeout(pause.next(), met).await;
        }
    }
}

fn other_seeds(node: &SpreadNode) -> BTreeSet<SocketAddr> {
    let own = node.members.own().control;
    node.options.seeds.iter().copied().filter(|seed| *seed != own).collect()
}

async fn read_contacts(node: &SpreadNode) -> BTreeSet<SocketAddr> {
    let Some(book) = &node.contacts else { return BTreeSet::new() };
    let own = node.members.own().control;
    match book.read().await {
        Ok(contacts) => contacts.into_values().flatten().filter(|other| *other != own).collect(),
        Err(err) => {
            log::debug!("spread: contacts: {err}.");
            BTreeSet::new()
        }
    }
}

/// Tries a few of the addresses at once and tells whether any answered.
async fn try_addresses(node: &Rc<SpreadNode>, addresses: &BTreeSet<SocketAddr>) -> bool {
    let chosen = addresses.iter().copied().sample(&mut rand::rng(), MAX_ADDRESSES);
    let results = join_all(chosen.into_iter().map(|address| meet(node, address))).await;
    for err in results.iter().filter_map(|result| result.as_ref().err()) {
        log::debug!("spread: cannot join: {err}.");
    }
    results.iter().any(Result::is_ok)
}

async fn meet(node: &Rc<SpreadNode>, address: SocketAddr) -> Result<(), Error> {
    let session = open_session(node, address).await?;
    let reconcile = node.reconcile(&session.proxy, session.client.clone());
    let result = tokio::time::timeout(CALL_TIMEOUT, reconcile).await;
    result.unwrap_or_else(|_| Err(Error::overloaded("join timed out".to_owned())))
}

/// Tries one address that belongs to no present member.
async fn meet_strangers(node: &Rc<SpreadNode>) {
    let view = node.view();
    let is_present = |address: &SocketAddr| {
        view.values().any(|record| record.control == *address && record.is_present())
    };
    let lost = view.values().filter(|record| !record.is_present()).map(|record| record.control);
    let strangers = other_seeds(node).into_iter().chain(lost).filter(|other| !is_present(other));
    let chosen = strangers.choose(&mut rand::rng());
    if let Some(address) = chosen
        && let Err(err) = meet(node, address).await
    {
        log::debug!("spread: {address} does not answer: {err}.");
    }
}

/// Keeps the contacts of this data centre fresh while this daemon is a relay.
///
/// Made for a fleet that restarts all at once at new addresses: its seeds and its contacts are all
/// stale, and the daemons know nothing. Each relay reads the contacts before it writes its own,
/// and a write fails where another came between; so of any two that start apart, the second
/// reads the first one's address and meets it. Reads are one per relay and pause, writes happen on
/// change only: neither grows with the fleet.
pub(crate) async fn keep_contacts(node: &Rc<SpreadNode>) {
    let Some(book) = node.contacts.clone() else { return };
    let mut relays = node.relays.subscribe();
    let mut ready = node.held.ready();
    let _ = ready.wait_for(|is_ready| *is_ready).await;
    loop {
        if relays.wait_for(|view| view.rank.is_some()).await.is_err() {
            return;
        }
        if let Err(err) = refresh_contacts(node, &*book).await {
            log::debug!("spread: contacts: {err}.");
        }
        let is_lonely = node.others().is_empty();
        let pause = if is_lonely { LONELY_PAUSE } else { CONTACT_PAUSE };
        tokio::time::sleep(pause + drawn(pause / 2)).await;
    }
}

async fn refresh_contacts(
    node: &Rc<SpreadNode>,
    book: &dyn crate::source::ContactBook,
) -> Result<(), crate::source::SourceError> {
    let contacts = book.read().await?;
    let view = node.view();
    let present: BTreeSet<SocketAddr> =
        view.values().filter(|record| record.is_present()).map(|record| record.control).collect();
    let strangers = contacts.values().flatten().filter(|other| !present.contains(other));
    try_addresses(node, &strangers.copied().collect()).await;
    let data_centre = &node.members.own().data_centre;
    let seen = contacts.get(data_centre).map(Vec::as_slice);
    let wanted = wanted_contacts(node, seen.unwrap_or_default());
    match seen == Some(wanted.as_slice()) {
        true => Ok(()),
        false => book.write(data_centre, seen, &wanted).await,
    }
}

/// Gives the contacts that should be kept: those kept already that are still members, filled up
/// with relays and then others. Kept ones come first, so that a change costs a write only where a
/// contact is lost.
fn wanted_contacts(node: &SpreadNode, seen: &[SocketAddr]) -> Vec<SocketAddr> {
    let own = node.members.own();
    let view = node.view();
    let near: Vec<SocketAddr> = view
        .values()
        .filter(|record| record.data_centre == own.data_centre && record.is_present())
        .map(|record| record.control)
        .collect();
    let relays = node.relays.borrow().relays.clone();
    let relays = relays.iter().filter_map(|relay| view.get(&relay.proxy));
    let mut wanted: Vec<SocketAddr> =
        seen.iter().copied().filter(|kept| near.contains(kept)).collect();
    for address in relays.map(|record| record.control).chain(near) {
        if wanted.len() < MAX_CONTACTS && !wanted.contains(&address) {
            wanted.push(address);
        }
    }
    wanted
}
