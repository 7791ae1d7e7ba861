//! Chooses which daemons of the data centre watch the configuration source, so that its load does
//! not grow with the fleet.

use std::{rc::Rc, time::Duration};

use sk_member::choose_relays;
use sk_model::ProxyId;
use tokio::time::Instant;

use crate::{
    node::SpreadNode,
    relay_view::{RelayId, RelayView},
};

/// Pause before the relays are chosen again after members changed. A fleet restart changes them
/// hundreds of times a second, and each choice ranks the whole data centre.
const RELAY_CHOICE_PAUSE: Duration = Duration::from_millis(100);

/// Chooses the relays, and sets the order in which other daemons take over from them.
pub(crate) fn choose_relay_view(node: &SpreadNode) -> RelayView {
    let members = node.member_snapshot();
    let own = node.members.own();
    let records = members.values().map(|record| &**record);
    let mut chosen = choose_relays(records, &own.data_centre, usize::MAX);
    node.freshness.borrow_mut().set_poll_order(&chosen);
    chosen.truncate(node.options.relays);
    let rank = chosen.iter().position(|relay| *relay == own.proxy);
    let name = |proxy: ProxyId| {
        let incarnation = members.get(&proxy).map_or(0, |record| record.incarnation);
        RelayId { proxy, incarnation }
    };
    RelayView {
        relays: chosen.into_iter().map(name).collect(),
        rank,
        unchanged_since: Instant::now(),
    }
}

/// Chooses the relays again whenever members change.
pub(crate) async fn maintain_relays(node: &Rc<SpreadNode>) {
    let mut snapshots = node.members.subscribe();
    loop {
        let relays = choose_relay_view(node);
        node.stats.set_relays(relays.clone());
        node.relays.send_if_modified(|current| {
            let is_changed = current.relays != relays.relays;
            if is_changed {
                *current = relays;
            }
            is_changed
        });
        if snapshots.changed().await.is_err() {
            return;
        }
        tokio::time::sleep(RELAY_CHOICE_PAUSE).await;
    }
}
