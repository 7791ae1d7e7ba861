//! Connects the limits of workspaces with the request path, the configuration and the members.

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_trait::async_trait;
use sk_allowance::{AllowanceBook, AllowanceRate, MemberPresence};
use sk_member::{FleetKnowledge, MemberRecord, MemberStatus, SharedMembers};
use sk_model::{ConfigSnapshot, SettingBody};
use sk_proxy::{AllowanceGate, AllowanceVerdict};
use sk_spread::ConfigHolder;

/// Interval between looks at the members without a change, by which lost daemons are forgotten.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(500);

/// Gives the request path access to the limits.
pub(crate) struct BookGate {
    pub(crate) book: Arc<AllowanceBook>,
}

#[async_trait]
impl AllowanceGate for BookGate {
    async fn take(&self, workspace: &str) -> AllowanceVerdict {
        match self.book.take(workspace).await {
            sk_allowance::AllowanceVerdict::Granted => AllowanceVerdict::Granted,
            sk_allowance::AllowanceVerdict::Refused { retry_after } => {
                AllowanceVerdict::Refused { retry_after }
            }
        }
    }

    fn give_back(&self, workspace: &str) {
        self.book.give_back(workspace);
    }

    fn charge(&self, workspace: &str) {
        self.book.charge(workspace);
    }
}

/// Applies each change of the configuration and of the members to the limits. Without limited
/// workspaces it only waits for changes of the configuration.
pub(crate) async fn update_allowances(
    book: Arc<AllowanceBook>,
    config: Arc<ConfigHolder>,
    members: Arc<SharedMembers>,
) {
    let mut versions = config.subscribe();
    let mut snapshots = members.subscribe();
    let (mut has_limits, mut is_changed) = (false, true);
    loop {
        versions.mark_unchanged();
        let rates = is_changed.then(|| read_rates(&config.current()));
        has_limits = rates.as_ref().map_or(has_limits, |rates| !rates.is_empty());
        if has_limits {
            book.record_alive();
            let snapshot = snapshots.borrow_and_update().clone();
            let fleet = members.fleet();
            let listed =
                snapshot.values().map(|record| (&record.proxy, presence_of(record, &fleet)));
            let missing = match fleet.knows_fleet() {
                true => MemberPresence::Missing,
                false => MemberPresence::Unheard,
            };
            let unheard = fleet.unheard().map(|name| (name, missing));
            book.set_members(
                listed.chain(unheard).map(|(name, presence)| (name.as_str(), presence)),
            );
        }
        if let Some(rates) = rates {
            book.set_rates(rates);
        }
        let is_open;
        (is_open, is_changed) = tokio::select! {
            changed = versions.changed() => (changed.is_ok(), true),
            changed = snapshots.changed(), if has_limits => (changed.is_ok(), false),
            () = tokio::time::sleep(MEMBERS_INTERVAL), if has_limits => (true, false),
        };
        if !is_open {
            return;
        }
    }
}

/// Returns how a daemon takes part, by its record and what this daemon knows of the fleet.
fn presence_of(record: &MemberRecord, fleet: &FleetKnowledge) -> MemberPresence {
    match record.status {
        MemberStatus::Leaving => MemberPresence::Left,
        _ if fleet.reaches(&record.proxy) => MemberPresence::Alive,
        _ if !fleet.has(&record.proxy) => MemberPresence::Lost,
        _ if fleet.knows_fleet() => MemberPresence::Missing,
        _ => MemberPresence::Unheard,
    }
}

/// Returns the limits of a configuration by workspace.
fn read_rates(snapshot: &ConfigSnapshot) -> HashMap<Arc<str>, AllowanceRate> {
    let limit = |(_, body): (_, &SettingBody)| {
        let SettingBody::Workspace(setting) = body else { return None };
        let rate = setting.rate_per_thousand_s.filter(|rate| *rate > 0)?;
        let rate_per_s = rate as f64 / 1000.0;
        let limit = AllowanceRate { rate_per_s, burst: setting.burst as f64 };
        Some((Arc::from(setting.name.as_str()), limit))
    };
    snapshot.settings().filter_map(limit).collect()
}
