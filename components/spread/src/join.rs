//! Joining the fleet through the seeds in the settings and the contacts stored in the platform.
//! Daemons that never meet would each hold their own view of members and servers, so joining is
//! retried until another daemon is known, and addresses outside the fleet's view are tried from
//! time to time.

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

/// Maximum number of addresses tried at once. Lists may name a whole fleet; a few that answer are
/// enough.
const MAX_ADDRESSES: usize = 8;
/// First and longest pause between tries while no other daemon is known.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Mean pause between tries of addresses that belong to no present member. After a long network
/// partition each half of a fleet may have forgotten the other; these tries reunite them.
const STRANGER_PAUSE: Duration = Duration::from_secs(15);
/// Shortest pause between updates of the contacts by one relay.
const CONTACT_PAUSE: Duration = Duration::from_secs(10);
/// The same while this daemon knows no other one, as others may be starting at the same time.
const LONELY_PAUSE: Duration = Duration::from_secs(2);
/// Number of contacts stored per data centre. Some of them outlive any failure short of the loss
/// of the data centre, and reading them all stays one small call.
const MAX_CONTACTS: usize = 8;

/// Progress of joining the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JoinStage {
    /// No address has been tried yet.
    Trying,
    /// There is no address to try.
    Alone,
    /// Addresses were tried and none answered.
    Unreached,
    /// Another daemon is known.
    Met,
}

/// Joins the fleet while no other daemon is known, and afterwards tries addresses of non-members
/// from time to time.
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
            // The wait also ends when another daemon joins this one meanwhile.
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

/// Tries a random few of the addresses at once and returns whether any answered.
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

/// Tries one random seed or former member that is not a present member.
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

/// Keeps the contacts of this data centre up to date while this daemon is a relay.
///
/// Contacts reunite a fleet that restarts all at once at new addresses: its seeds and contacts are
/// stale, and no daemon knows another. Each relay reads the contacts before it writes its own, and
/// a write fails if another relay wrote in between. So of any two daemons that start apart, the
/// second reads the first one's address and joins it. A relay reads once per pause and writes on
/// change only, so neither grows with the fleet.
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

/// Returns the contacts to store: those stored already that are still members, filled up with
/// relays and then with other members. Stored ones come first, so that only the loss of a contact
/// causes a write.
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
