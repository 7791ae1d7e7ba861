//! Joining the fleet through the seeds in the settings and the contacts stored in the platform.
//! Daemons that never find each other would each know different members and servers, so joining
//! is retried until another daemon is known, and addresses that belong to no present member are
//! tried from time to time.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use capnp::Error;
use futures::future::join_all;
use rand::seq::IteratorRandom;
use tokio::sync::watch;

use crate::{
    backoff::{RetryPause, jittered, random_up_to},
    connect::open_session,
    node::{CALL_TIMEOUT, SpreadNode},
};

/// Maximum number of addresses tried at once. Lists may name a whole fleet; a few that answer are
/// enough.
const MAX_ADDRESSES: usize = 8;
/// Upper bound of the first pause between tries while no other daemon is known.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between tries while no other daemon is known.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Mean pause between tries of addresses that belong to no present member. After a long network
/// partition each half of a fleet may have forgotten the other; these tries reunite them.
const NON_MEMBER_PAUSE: Duration = Duration::from_secs(15);
/// Shortest pause between updates of the contacts by one relay.
const CONTACT_PAUSE: Duration = Duration::from_secs(10);
/// The same while this daemon knows no other one, as others may be starting at the same time.
const ISOLATED_CONTACT_PAUSE: Duration = Duration::from_secs(2);
/// Number of contacts stored per data centre. Some of them outlive any failure short of the loss
/// of the data centre, and reading them all stays one small call.
const MAX_CONTACTS: usize = 8;

/// Progress of joining the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JoinStage {
    /// No address has been tried yet.
    Pending,
    /// There is no address to try.
    NoAddresses,
    /// Addresses were tried and none answered.
    Unreachable,
    /// Another daemon is known.
    Joined,
}

/// Joins the fleet while no other daemon is known, and afterwards tries addresses of non-members
/// from time to time.
pub(crate) async fn join_fleet(node: &Rc<SpreadNode>, stage: &watch::Sender<JoinStage>) {
    let mut pause = RetryPause::new(FIRST_PAUSE, LONGEST_PAUSE);
    loop {
        if !node.other_members().is_empty() {
            stage.send_replace(JoinStage::Joined);
            pause.reset();
            tokio::time::sleep(jittered(NON_MEMBER_PAUSE)).await;
            try_non_member(node).await;
            continue;
        }
        let mut addresses = other_seeds(node);
        if !try_addresses(node, &addresses).await {
            let contacts = read_contacts(node).await;
            try_addresses(node, &contacts).await;
            addresses.extend(contacts);
        }
        let has_joined = !node.other_members().is_empty();
        stage.send_replace(match has_joined {
            true => JoinStage::Joined,
            false if addresses.is_empty() => JoinStage::NoAddresses,
            false => JoinStage::Unreachable,
        });
        if !has_joined {
            // The wait also ends when another daemon joins this one meanwhile.
            let mut snapshots = node.members.subscribe();
            let joined = snapshots.wait_for(|members| members.len() > 1);
            let _ = tokio::time::timeout(pause.next(), joined).await;
        }
    }
}

/// Returns the seeds of the settings without the own address.
fn other_seeds(node: &SpreadNode) -> BTreeSet<SocketAddr> {
    let own = node.members.own().control;
    node.options.seeds.iter().copied().filter(|seed| *seed != own).collect()
}

/// Reads the contacts of all data centres without the own address; empty if they cannot be read.
async fn read_contacts(node: &SpreadNode) -> BTreeSet<SocketAddr> {
    let Some(store) = &node.contacts else { return BTreeSet::new() };
    let own = node.members.own().control;
    match store.read().await {
        Ok(contacts) => contacts.into_values().flatten().filter(|other| *other != own).collect(),
        Err(err) => {
            log::debug!("spread: cannot read contacts: {err}.");
            BTreeSet::new()
        }
    }
}

/// Tries a random few of the addresses at once and returns whether any answered.
async fn try_addresses(node: &Rc<SpreadNode>, addresses: &BTreeSet<SocketAddr>) -> bool {
    let chosen = addresses.iter().copied().sample(&mut rand::rng(), MAX_ADDRESSES);
    let results = join_all(chosen.into_iter().map(|address| join_at(node, address))).await;
    for err in results.iter().filter_map(|result| result.as_ref().err()) {
        log::debug!("spread: cannot join: {err}.");
    }
    results.iter().any(Result::is_ok)
}

/// Connects to an address and reconciles records with the daemon there.
async fn join_at(node: &Rc<SpreadNode>, address: SocketAddr) -> Result<(), Error> {
    let session = open_session(node, address).await?;
    let reconcile = node.reconcile(&session.proxy, session.client.clone());
    let result = tokio::time::timeout(CALL_TIMEOUT, reconcile).await;
    result.unwrap_or_else(|_| Err(Error::overloaded("join timed out".to_owned())))
}

/// Tries one random seed or former member that is not a present member.
async fn try_non_member(node: &Rc<SpreadNode>) {
    let members = node.member_snapshot();
    let is_present = |address: &SocketAddr| {
        members.values().any(|record| record.control == *address && record.is_active())
    };
    let former = members.values().filter(|record| !record.is_active()).map(|record| record.control);
    let non_members =
        other_seeds(node).into_iter().chain(former).filter(|other| !is_present(other));
    let chosen = non_members.choose(&mut rand::rng());
    if let Some(address) = chosen
        && let Err(err) = join_at(node, address).await
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
pub(crate) async fn maintain_contacts(node: &Rc<SpreadNode>) {
    let Some(store) = node.contacts.clone() else { return };
    let mut relays = node.relays.subscribe();
    let mut ready = node.config.ready();
    let _ = ready.wait_for(|is_ready| *is_ready).await;
    loop {
        if relays.wait_for(|view| view.rank.is_some()).await.is_err() {
            return;
        }
        if let Err(err) = refresh_contacts(node, &*store).await {
            log::debug!("spread: cannot refresh contacts: {err}.");
        }
        let is_isolated = node.other_members().is_empty();
        let pause = if is_isolated { ISOLATED_CONTACT_PAUSE } else { CONTACT_PAUSE };
        tokio::time::sleep(pause + random_up_to(pause / 2)).await;
    }
}

/// Joins the daemons in stored contacts that are no members, and updates the own data centre's
/// contacts if they changed.
async fn refresh_contacts(
    node: &Rc<SpreadNode>,
    store: &dyn crate::source::ContactStore,
) -> Result<(), crate::source::SourceError> {
    let contacts = store.read().await?;
    let members = node.member_snapshot();
    let present: BTreeSet<SocketAddr> =
        members.values().filter(|record| record.is_active()).map(|record| record.control).collect();
    let non_members = contacts.values().flatten().filter(|other| !present.contains(other));
    try_addresses(node, &non_members.copied().collect()).await;
    let data_centre = &node.members.own().data_centre;
    let stored = contacts.get(data_centre).map(Vec::as_slice);
    let wanted = choose_contacts(node, stored.unwrap_or_default());
    match stored == Some(wanted.as_slice()) {
        true => Ok(()),
        false => store.write(data_centre, stored, &wanted).await,
    }
}

/// Returns the contacts to store: those stored already that are still members, filled up with
/// relays and then with other members. Stored ones come first, so that only the loss of a contact
/// causes a write. A daemon that does not know the fleet cannot tell which of them are lost, and
/// keeps the others as far as there is room.
fn choose_contacts(node: &SpreadNode, stored: &[SocketAddr]) -> Vec<SocketAddr> {
    let own = node.members.own();
    let members = node.member_snapshot();
    let local: Vec<SocketAddr> = members
        .values()
        .filter(|record| record.data_centre == own.data_centre && record.is_active())
        .map(|record| record.control)
        .collect();
    let relays = node.relays.borrow().relays.clone();
    let relays = relays.iter().filter_map(|relay| members.get(&relay.proxy));
    let mut wanted: Vec<SocketAddr> =
        stored.iter().copied().filter(|address| local.contains(address)).collect();
    for address in relays.map(|record| record.control).chain(local) {
        if wanted.len() < MAX_CONTACTS && !wanted.contains(&address) {
            wanted.push(address);
        }
    }
    if !node.members.fleet().knows_fleet() {
        let others: Vec<SocketAddr> =
            stored.iter().copied().filter(|address| !wanted.contains(address)).collect();
        wanted.extend(others);
        wanted.truncate(MAX_CONTACTS);
    }
    wanted
}
