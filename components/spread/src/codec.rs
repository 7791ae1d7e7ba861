//! Conversion between the generated wire types and the types of the other crates.

use std::collections::BTreeMap;

use capnp::{Error, struct_list};
use serde::{Serialize, de::DeserializeOwned};
use sk_member::{EndpointRecord, EndpointStatus, MemberRecord, MemberStatus};
use sk_model::{ProxyAck, RejectedVersion, TreeRef, check_path};

use crate::{
    peer_capnp::{ack, endpoint, member, update},
    update::{ConfigUpdate, TreeContent, TreeUpdate},
};

pub(crate) fn write_update(
    update: &ConfigUpdate,
    mut builder: update::Builder<'_>,
) -> Result<(), Error> {
    builder.set_version(update.version);
    builder.set_base(update.base);
    builder.set_root_hash(&update.root_hash);
    builder.set_change(&to_json(&update.change)?);
    let mut trees = builder.init_trees(update.trees.len() as u32);
    for (index, (team, tree)) in update.trees.iter().enumerate() {
        let mut builder = trees.reborrow().get(index as u32);
        builder.set_team(team);
        builder.set_version(tree.tree_ref.version);
        builder.set_hash(&tree.tree_ref.hash);
        match &tree.content {
            TreeContent::Whole(tree) => builder.set_whole(&to_json(tree)?),
            TreeContent::Writes(writes) => builder.set_writes(&to_json(writes)?),
        }
    }
    Ok(())
}

pub(crate) fn read_update(reader: update::Reader<'_>) -> Result<ConfigUpdate, Error> {
    let mut trees = BTreeMap::new();
    for tree in reader.get_trees()? {
        let content = match tree.which()? {
            update::tree::Whole(body) => TreeContent::Whole(from_json(body?)?),
            update::tree::Writes(body) => TreeContent::Writes(from_json(body?)?),
        };
        let hash = tree.get_hash()?.to_string()?;
        let tree_ref = TreeRef { hash, version: tree.get_version() };
        trees.insert(tree.get_team()?.to_string()?, TreeUpdate { tree_ref, content });
    }
    Ok(ConfigUpdate {
        version: reader.get_version(),
        base: reader.get_base(),
        root_hash: reader.get_root_hash()?.to_string()?,
        change: from_json(reader.get_change()?)?,
        trees,
    })
}

pub(crate) fn write_member(record: &MemberRecord, mut builder: member::Builder<'_>) {
    builder.set_proxy(&record.proxy);
    builder.set_incarnation(record.incarnation);
    builder.set_sequence(record.sequence);
    builder.set_status(match record.status {
        MemberStatus::Alive => member::Status::Alive,
        MemberStatus::Suspect => member::Status::Suspect,
        MemberStatus::Leaving => member::Status::Leaving,
        MemberStatus::Gone => member::Status::Gone,
    });
    builder.set_data_centre(&record.data_centre);
    builder.set_region(&record.region);
    builder.set_control(record.control.to_string());
    builder.set_guard(record.guard.to_string());
    let mut endpoints = builder.init_endpoints(record.endpoints.len() as u32);
    for (index, endpoint) in record.endpoints.iter().enumerate() {
        write_endpoint(endpoint, endpoints.reborrow().get(index as u32));
    }
}

fn write_endpoint(endpoint: &EndpointRecord, mut builder: endpoint::Builder<'_>) {
    builder.set_service(&endpoint.service);
    builder.set_server(&endpoint.server);
    builder.set_slots(endpoint.slots);
    builder.set_is_ready(endpoint.status == EndpointStatus::Ready);
}

pub(crate) fn read_members(
    readers: struct_list::Reader<'_, member::Owned>,
) -> Result<Vec<MemberRecord>, Error> {
    readers.iter().map(read_member).collect()
}

fn read_member(reader: member::Reader<'_>) -> Result<MemberRecord, Error> {
    let status = match reader.get_status()? {
        member::Status::Alive => MemberStatus::Alive,
        member::Status::Suspect => MemberStatus::Suspect,
        member::Status::Leaving => MemberStatus::Leaving,
        member::Status::Gone => MemberStatus::Gone,
    };
    let endpoints: Result<_, _> = reader.get_endpoints()?.iter().map(read_endpoint).collect();
    Ok(MemberRecord {
        proxy: reader.get_proxy()?.to_string()?,
        incarnation: reader.get_incarnation(),
        sequence: reader.get_sequence(),
        status,
        data_centre: reader.get_data_centre()?.to_string()?,
        region: reader.get_region()?.to_string()?,
        control: parse_address(reader.get_control()?)?,
        guard: parse_address(reader.get_guard()?)?,
        endpoints: endpoints?,
    })
}

fn read_endpoint(reader: endpoint::Reader<'_>) -> Result<EndpointRecord, Error> {
    let service = reader.get_service()?.to_string()?;
    check_path(&service).map_err(|err| Error::failed(err.to_string()))?;
    Ok(EndpointRecord {
        service,
        server: reader.get_server()?.to_string()?,
        slots: reader.get_slots(),
        status: match reader.get_is_ready() {
            true => EndpointStatus::Ready,
            false => EndpointStatus::Draining,
        },
    })
}

pub(crate) fn write_ack(ack: &ProxyAck, mut builder: ack::Builder<'_>) {
    builder.set_proxy(&ack.proxy);
    builder.set_incarnation(ack.incarnation);
    builder.set_data_centre(&ack.data_centre);
    builder.set_version(ack.version);
    builder.set_since(ack.since);
    builder.set_source(&ack.source);
    if let Some(rejected) = &ack.rejected {
        builder.set_rejected(rejected.version);
        builder.set_reason(&rejected.reason);
    }
}

pub(crate) fn read_ack(reader: ack::Reader<'_>) -> Result<ProxyAck, Error> {
    let rejected = match reader.get_rejected() {
        0 => None,
        version => Some(RejectedVersion { version, reason: reader.get_reason()?.to_string()? }),
    };
    Ok(ProxyAck {
        proxy: reader.get_proxy()?.to_string()?,
        incarnation: reader.get_incarnation(),
        data_centre: reader.get_data_centre()?.to_string()?,
        version: reader.get_version(),
        since: reader.get_since(),
        source: reader.get_source()?.to_string()?,
        rejected,
    })
}

fn parse_address(text: capnp::text::Reader<'_>) -> Result<std::net::SocketAddr, Error> {
    text.to_str()?.parse().map_err(|_| Error::failed("malformed address".to_owned()))
}

fn to_json<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|err| Error::failed(err.to_string()))
}

fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|err| Error::failed(err.to_string()))
}
