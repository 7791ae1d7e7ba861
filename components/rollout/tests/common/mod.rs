//! Records of a fleet with an order that moves a service from version `v1` to `v2`.

use sk_decide::rollout::RolloutStage;
use sk_member::{EndpointRecord, EndpointStatus, MemberRecord, MemberStatus};
use sk_rollout::{OrderState, RolloutOrder, StageRecord};

pub const SERVICE: &str = "/operator/services/board";

/// Returns the record of a daemon, with a server if a version is given.
pub fn member(name: &str, version: Option<&str>) -> MemberRecord {
    let address = "127.0.0.1:1".parse().expect("an address");
    let endpoint = |version: &str| EndpointRecord {
        service: SERVICE.to_owned(),
        server: format!("server of {name}"),
        slots: 4,
        status: EndpointStatus::Ready,
        version: version.to_owned(),
    };
    MemberRecord {
        proxy: name.to_owned(),
        incarnation: 1,
        sequence: 1,
        status: MemberStatus::Alive,
        data_centre: "a".to_owned(),
        region: "r".to_owned(),
        control: address,
        guard: address,
        endpoints: version.into_iter().map(endpoint).collect(),
    }
}

/// Returns the order, with its state in the store.
pub fn order(state: Option<OrderState>) -> RolloutOrder {
    RolloutOrder {
        name: "board".to_owned(),
        service: SERVICE.to_owned(),
        target: "v2".to_owned(),
        duration_ms: 12_000,
        created: 7,
        revision: 7,
        state,
    }
}

/// Returns the record of a stage. `hosts` are the daemons beside servers of the old version.
pub fn stage_record(stage: RolloutStage, started_at: u64, hosts: &[&str]) -> StageRecord {
    StageRecord {
        order: order(None).id(),
        service: SERVICE.to_owned(),
        target: "v2".to_owned(),
        created: 7,
        started_at,
        stage,
        base: vec!["v1".to_owned()],
        hosts: hosts.iter().map(|host| host.to_string()).collect(),
        note: None,
    }
}
