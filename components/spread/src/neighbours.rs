//! Applies the decisions of the liveness monitor: suspicions, daemons declared gone, and the
//! recovery after a pause of this process, which no longer knows whether its backend servers still
//! run.

use std::{rc::Rc, time::Duration};

use sk_member::{MemberRumor, MemberTable, MonitorEvent};
use tokio::time::Instant;

use crate::{connect::sweep_sessions, node::SpreadNode};

/// Time between runs of the monitor.
const MONITOR_INTERVAL: Duration = Duration::from_millis(200);
/// Time between removals of expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the monitor periodically and applies its events.
pub(crate) async fn monitor_neighbours(node: &Rc<SpreadNode>) {
    let mut last_expiry = Instant::now();
    loop {
        tokio::time::sleep(MONITOR_INTERVAL).await;
        let members = node.member_snapshot();
        let events = node.links.borrow_mut().tick(&members);
        events.into_iter().for_each(|event| apply_event(node, event));
        if last_expiry.elapsed() > EXPIRY_INTERVAL {
            last_expiry = Instant::now();
            let now = node.links.borrow().now();
            node.members.update(|table| table.expire_tombstones(now), |dropped| *dropped > 0);
            sweep_sessions(node);
        }
    }
}

/// Applies one decision of the monitor.
fn apply_event(node: &SpreadNode, event: MonitorEvent) {
    match event {
        MonitorEvent::SendSuspicion(suspicion) => {
            node.links.borrow_mut().push(&MemberRumor::Suspicion(suspicion), None);
        }
        MonitorEvent::Gone { proxy, incarnation, sequence } => {
            let declare = |table: &mut MemberTable| {
                let is_gone = table.declare_gone(&proxy, incarnation, sequence);
                table.records().get(&proxy).filter(|_| is_gone).cloned()
            };
            if let Some(record) = node.members.update(declare, Option::is_some) {
                log::info!("spread: {proxy} is gone.");
                node.links.borrow_mut().push(&MemberRumor::Record(record), None);
            }
        }
        MonitorEvent::MarksChanged(marks) => node.members.set_marks(marks),
        MonitorEvent::Paused(pause) => {
            log::warn!("spread: this process was paused for {} ms.", pause.as_millis());
            node.members.update(|table| table.withdraw_endpoints(), |is_changed| *is_changed);
            node.freshness.borrow_mut().reset(node.started_at.elapsed());
        }
    }
}
