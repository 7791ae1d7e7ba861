//! Keeps the roster: the names of the fleet's daemons in the platform's store, from which a daemon
//! that reaches no other learns that there are others.

use std::{rc::Rc, time::Duration};

use sk_member::{FleetRoster, RosterUpkeep};
use sk_model::ProxyId;
use tokio::{sync::watch, time::Instant};

use crate::{
    backoff::jittered,
    node::SpreadNode,
    source::{RosterMap, RosterStore, SourceError},
};

/// Time between looks at the members.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Mean time between reads by a relay.
const RELAY_READ_PAUSE: Duration = Duration::from_secs(12);
/// Mean time between reads while this daemon does not know the fleet, and between writes.
const SHORT_PAUSE: Duration = Duration::from_millis(2_000);

/// Reads the roster at the start and whenever it may have changed; a relay also keeps the names of
/// its data centre. `is_tried` becomes true with the end of the first read, whatever its result.
pub(crate) async fn maintain_roster(node: &Rc<SpreadNode>, is_tried: &watch::Sender<bool>) {
    let Some(store) = node.roster.clone() else {
        node.members.set_roster(FleetRoster::new());
        is_tried.send_replace(true);
        return;
    };
    let (mut upkeep, mut stored) = (RosterUpkeep::default(), RosterMap::new());
    loop {
        match store.read().await {
            Ok(read) => {
                stored = read;
                let wanted = refresh(node, &mut upkeep, &stored);
                if let Err(err) = write(node, &*store, &mut stored, wanted).await {
                    log::debug!("spread: cannot write the roster: {err}.");
                }
            }
            Err(err) => log::debug!("spread: cannot read the roster: {err}."),
        }
        is_tried.send_replace(true);
        let read_at = Instant::now();
        let (short, long) = (jittered(SHORT_PAUSE), jittered(RELAY_READ_PAUSE));
        loop {
            tokio::time::sleep(LOOK_INTERVAL).await;
            let (fleet, is_keeper) = (node.members.fleet(), is_keeper(node));
            let is_current = fleet.is_roster_read()
                && (!is_keeper || refresh(node, &mut upkeep, &stored) == names_of(node, &stored));
            let pause = match fleet.knows_fleet() && is_current {
                true if !is_keeper => continue,
                true => long,
                false => short,
            };
            if read_at.elapsed() >= pause {
                break;
            }
        }
    }
}

/// Returns whether this daemon keeps the names of its data centre.
fn is_keeper(node: &SpreadNode) -> bool {
    node.config.is_ready() && node.relays.borrow().rank.is_some()
}

/// Applies a roster to what this daemon knows, and returns the names wanted for its data centre.
fn refresh(node: &SpreadNode, upkeep: &mut RosterUpkeep, stored: &RosterMap) -> FleetRoster {
    let (members, marks, now) =
        (node.member_snapshot(), node.members.marks(), node.started_at.elapsed());
    let data_centre = &node.members.own().data_centre;
    let wanted = upkeep.update(data_centre, &names_of(node, stored), &members, &marks, now);
    let names = stored.values().flatten().chain(upkeep.removed());
    node.members.set_roster(names.cloned().collect());
    wanted
}

/// Writes the names of the own data centre if this daemon keeps them and they have to change.
async fn write(
    node: &SpreadNode,
    store: &dyn RosterStore,
    stored: &mut RosterMap,
    wanted: FleetRoster,
) -> Result<(), SourceError> {
    if !is_keeper(node) || names_of(node, stored) == wanted {
        return Ok(());
    }
    let data_centre = &node.members.own().data_centre;
    let names: Vec<ProxyId> = wanted.into_iter().collect();
    let previous = stored.get(data_centre).map(Vec::as_slice);
    store.write(data_centre, previous, &names).await?;
    stored.insert(data_centre.clone(), names);
    Ok(())
}

/// Returns the stored names of the own data centre.
fn names_of(node: &SpreadNode, stored: &RosterMap) -> FleetRoster {
    stored.get(&node.members.own().data_centre).into_iter().flatten().cloned().collect()
}
