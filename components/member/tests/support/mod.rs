//! Records of simulated fleets, and a simulated network between daemons.
#![allow(dead_code)]

pub mod naive;
pub mod network;
pub mod node;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use sk_member::{EndpointRecord, EndpointStatus, MemberRecord, MemberSnapshot, MemberStatus};

pub fn record(proxy: &str, incarnation: u64, sequence: u64, status: MemberStatus) -> MemberRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    MemberRecord {
        proxy: proxy.to_owned(),
        incarnation,
        sequence,
        status,
        data_centre: "lj1".to_owned(),
        region: "slovenia".to_owned(),
        control: address,
        guard: address,
        endpoints: Vec::new(),
    }
}

pub fn endpoint(server: &str) -> EndpointRecord {
    EndpointRecord {
        service: "/ledvica/board".to_owned(),
        server: server.to_owned(),
        slots: 12,
        status: EndpointStatus::Ready,
        version: String::new(),
    }
}

/// Creates the records of a fleet spread evenly over 9 data centres in 3 regions.
pub fn fleet(len: usize) -> Vec<Arc<MemberRecord>> {
    let member = |index: usize| {
        let centre = index % 9;
        Arc::new(MemberRecord {
            data_centre: format!("dc{centre}"),
            region: format!("region{}", centre / 3),
            endpoints: vec![endpoint(&format!("server-{index}"))],
            ..record(&format!("proxy-{index:03}"), 1_000, 1, MemberStatus::Alive)
        })
    };
    (0..len).map(member).collect()
}

pub fn snapshot_of(records: impl IntoIterator<Item = Arc<MemberRecord>>) -> MemberSnapshot {
    let named = records.into_iter().map(|record| (record.proxy.clone(), record));
    Arc::new(named.collect::<BTreeMap<_, _>>())
}
