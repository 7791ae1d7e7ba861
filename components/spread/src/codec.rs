//! Converts between the generated wire types and the types of the other crates. Lists, texts and
//! compressed content are bounded, so that a faulty peer cannot exhaust memory or the control
//! thread's time.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{Read, Write},
};

use capnp::{Error, primitive_list, struct_list, text_list};
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use serde::{Serialize, de::DeserializeOwned};
use sk_member::{EndpointRecord, EndpointStatus, MemberRecord, MemberStatus, MemberSuspicion};
use sk_model::{ProxyAck, RejectedVersion, TreeRef};

use crate::{
    peer_capnp::{ack, endpoint, fetch_request, member, suspicion, update},
    update::{ConfigUpdate, TreeContent, TreeHashes, TreeUpdate},
};

/// Maximum number of records, acknowledgements or subtrees in one message: 5 times the largest
/// supported fleet. A longer list is a fault of its sender, and reading it would block the control
/// thread.
const MAX_ITEMS: u32 = 4_096;
/// Maximum number of backend servers beside one daemon; an instance runs a few.
const MAX_ENDPOINTS: u32 = 64;
/// Maximum number of digest buckets in one message.
const MAX_BUCKETS: u32 = 1_024;
/// Longest name, address, hash or service path in bytes. A platform that sets no bound may use names
/// of over a thousand characters, three times as long when escaped; stored records with longer ones
/// would let a peer fill the memory.
const MAX_TEXT_BYTES: usize = 4_096;
/// Largest subtree in bytes after decompression: several at the platform's limit of one megabyte.
/// A few bytes from a faulty peer could otherwise decompress to fill the memory.
const MAX_DECOMPRESSED_BYTES: u64 = 8 << 20;
/// Longest stored reason of a rejection, in bytes. Reasons are for people; the rest is cut off.
const MAX_REASON_BYTES: usize = 1_024;

/// Encodes an update.
pub(crate) fn write_update(
    update: &ConfigUpdate,
    mut builder: update::Builder<'_>,
) -> Result<(), Error> {
    builder.set_version(update.version);
    builder.set_base(update.base);
    builder.set_root_hash(&update.root_hash);
    builder.set_change(&compress_json(&update.change)?);
    let mut trees = builder.reborrow().init_trees(update.trees.len() as u32);
    for (index, (team, tree)) in update.trees.iter().enumerate() {
        let mut builder = trees.reborrow().get(index as u32);
        builder.set_team(team);
        builder.set_version(tree.tree_ref.version);
        builder.set_hash(&tree.tree_ref.hash);
        match &tree.content {
            TreeContent::Whole(tree) => builder.set_whole(&compress_json(tree)?),
            TreeContent::Writes(writes) => builder.set_writes(&compress_json(writes)?),
            TreeContent::Unchanged => builder.set_held(()),
        }
    }
    let mut removed = builder.init_removed(update.removed.len() as u32);
    for (index, team) in update.removed.iter().enumerate() {
        removed.set(index as u32, team);
    }
    Ok(())
}

/// Decodes an update.
///
/// # Errors
///
/// Fails if the message is malformed or exceeds a limit.
pub(crate) fn read_update(reader: update::Reader<'_>) -> Result<ConfigUpdate, Error> {
    let mut trees = BTreeMap::new();
    check_length(reader.get_trees()?.len(), MAX_ITEMS)?;
    for tree in reader.get_trees()? {
        let content = match tree.which()? {
            update::tree::Whole(body) => TreeContent::Whole(decompress_json(body?)?),
            update::tree::Writes(body) => TreeContent::Writes(decompress_json(body?)?),
            update::tree::Held(()) => TreeContent::Unchanged,
        };
        let hash = read_text(tree.get_hash()?)?;
        let tree_ref = TreeRef { hash, version: tree.get_version() };
        trees.insert(read_text(tree.get_team()?)?, TreeUpdate { tree_ref, content });
    }
    Ok(ConfigUpdate {
        version: reader.get_version(),
        base: reader.get_base(),
        root_hash: read_text(reader.get_root_hash()?)?,
        change: decompress_json(reader.get_change()?)?,
        trees,
        removed: read_teams(reader.get_removed()?)?,
    })
}

fn read_teams(reader: text_list::Reader<'_>) -> Result<BTreeSet<String>, Error> {
    check_length(reader.len(), MAX_ITEMS)?;
    reader.iter().map(|team| read_text(team?)).collect()
}

/// Encodes the subtree hashes of a fetch request.
pub(crate) fn write_hashes(hashes: &TreeHashes, builder: fetch_request::Builder<'_>) {
    let mut trees = builder.init_trees(hashes.len() as u32);
    for (index, (team, hash)) in hashes.iter().enumerate() {
        let mut tree = trees.reborrow().get(index as u32);
        tree.set_team(team);
        tree.set_hash(hash);
    }
}

/// Decodes the subtree hashes of a fetch request.
pub(crate) fn read_hashes(reader: fetch_request::Reader<'_>) -> Result<TreeHashes, Error> {
    let trees = reader.get_trees()?;
    check_length(trees.len(), MAX_ITEMS)?;
    let read = |tree: fetch_request::tree_hash::Reader<'_>| {
        Ok((read_text(tree.get_team()?)?, read_text(tree.get_hash()?)?))
    };
    trees.iter().map(read).collect()
}

/// Decodes the buckets of a record digest.
pub(crate) fn read_buckets(reader: primitive_list::Reader<'_, u64>) -> Result<Vec<u64>, Error> {
    check_length(reader.len(), MAX_BUCKETS)?;
    Ok(reader.iter().collect())
}

/// Encodes the buckets of a record digest.
pub(crate) fn write_buckets(buckets: &[u64], mut builder: primitive_list::Builder<'_, u64>) {
    for (index, bucket) in buckets.iter().enumerate() {
        builder.set(index as u32, *bucket);
    }
}

/// Encodes member records.
pub(crate) fn write_members<'a>(
    records: impl Iterator<Item = &'a MemberRecord>,
    mut builder: struct_list::Builder<'_, member::Owned>,
) {
    for (index, record) in records.enumerate() {
        write_member(record, builder.reborrow().get(index as u32));
    }
}

fn write_member(record: &MemberRecord, mut builder: member::Builder<'_>) {
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
    builder.set_version(&endpoint.version);
}

/// Decodes member records.
///
/// # Errors
///
/// Fails if a record is malformed or exceeds a limit.
pub(crate) fn read_members(
    readers: struct_list::Reader<'_, member::Owned>,
) -> Result<Vec<MemberRecord>, Error> {
    check_length(readers.len(), MAX_ITEMS)?;
    readers.iter().map(read_member).collect()
}

fn read_member(reader: member::Reader<'_>) -> Result<MemberRecord, Error> {
    let status = match reader.get_status()? {
        member::Status::Alive => MemberStatus::Alive,
        member::Status::Suspect => MemberStatus::Suspect,
        member::Status::Leaving => MemberStatus::Leaving,
        member::Status::Gone => MemberStatus::Gone,
    };
    check_length(reader.get_endpoints()?.len(), MAX_ENDPOINTS)?;
    let endpoints: Result<_, _> = reader.get_endpoints()?.iter().map(read_endpoint).collect();
    Ok(MemberRecord {
        proxy: read_text(reader.get_proxy()?)?,
        incarnation: reader.get_incarnation(),
        sequence: reader.get_sequence(),
        status,
        data_centre: read_text(reader.get_data_centre()?)?,
        region: read_text(reader.get_region()?)?,
        control: parse_address(reader.get_control()?)?,
        guard: parse_address(reader.get_guard()?)?,
        endpoints: endpoints?,
    })
}

/// Encodes suspicions.
pub(crate) fn write_suspicions(
    suspicions: &[&MemberSuspicion],
    mut builder: struct_list::Builder<'_, suspicion::Owned>,
) {
    for (index, suspicion) in suspicions.iter().enumerate() {
        let mut builder = builder.reborrow().get(index as u32);
        builder.set_proxy(&suspicion.proxy);
        builder.set_incarnation(suspicion.incarnation);
        builder.set_sequence(suspicion.sequence);
        builder.set_observer(&suspicion.observer);
        builder.set_round(suspicion.number);
        builder.set_is_withdrawn(suspicion.is_withdrawn);
    }
}

/// Decodes suspicions.
pub(crate) fn read_suspicions(
    readers: struct_list::Reader<'_, suspicion::Owned>,
) -> Result<Vec<MemberSuspicion>, Error> {
    check_length(readers.len(), MAX_ITEMS)?;
    let read = |suspicion: suspicion::Reader<'_>| {
        Ok(MemberSuspicion {
            proxy: read_text(suspicion.get_proxy()?)?,
            incarnation: suspicion.get_incarnation(),
            sequence: suspicion.get_sequence(),
            observer: read_text(suspicion.get_observer()?)?,
            number: suspicion.get_round(),
            is_withdrawn: suspicion.get_is_withdrawn(),
        })
    };
    readers.iter().map(read).collect()
}

fn read_endpoint(reader: endpoint::Reader<'_>) -> Result<EndpointRecord, Error> {
    let service = read_text(reader.get_service()?)?;
    if !service.starts_with('/') {
        return Err(Error::failed(format!("`{service}` is not the path of a service")));
    }
    Ok(EndpointRecord {
        service,
        server: read_text(reader.get_server()?)?,
        slots: reader.get_slots(),
        status: match reader.get_is_ready() {
            true => EndpointStatus::Ready,
            false => EndpointStatus::Draining,
        },
        version: read_text(reader.get_version()?)?,
    })
}

/// Decodes acknowledgements.
pub(crate) fn read_acks(
    readers: struct_list::Reader<'_, ack::Owned>,
) -> Result<Vec<ProxyAck>, Error> {
    check_length(readers.len(), MAX_ITEMS)?;
    readers.iter().map(read_ack).collect()
}

/// Encodes an acknowledgement. A `rejected` version of zero means none.
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

fn read_ack(reader: ack::Reader<'_>) -> Result<ProxyAck, Error> {
    let rejected = match reader.get_rejected() {
        0 => None,
        version => Some(RejectedVersion { version, reason: read_reason(reader.get_reason()?)? }),
    };
    Ok(ProxyAck {
        proxy: read_text(reader.get_proxy()?)?,
        incarnation: reader.get_incarnation(),
        data_centre: read_text(reader.get_data_centre()?)?,
        version: reader.get_version(),
        since: reader.get_since(),
        source: read_text(reader.get_source()?)?,
        rejected,
    })
}

/// Reads a text that is stored.
///
/// # Errors
///
/// Fails if it is longer than any text that a healthy peer sends.
pub(crate) fn read_text(text: capnp::text::Reader<'_>) -> Result<String, Error> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(Error::failed("text too long".to_owned()));
    }
    Ok(text.to_string()?)
}

/// Reads the reason of a rejection, cut off at [`MAX_REASON_BYTES`].
fn read_reason(text: capnp::text::Reader<'_>) -> Result<String, Error> {
    let mut reason = text.to_string()?;
    reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
    Ok(reason)
}

fn check_length(length: u32, max: u32) -> Result<(), Error> {
    if length > max {
        return Err(Error::failed("list too long".to_owned()));
    }
    Ok(())
}

fn parse_address(text: capnp::text::Reader<'_>) -> Result<std::net::SocketAddr, Error> {
    text.to_str()?.parse().map_err(|_| Error::failed("malformed address".to_owned()))
}

/// Encodes a value as compressed JSON. Settings of one team repeat text, and a large change
/// crosses every daemon's link several times.
fn compress_json<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    let json = serde_json::to_vec(value).map_err(|err| Error::failed(err.to_string()))?;
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json)?;
    Ok(encoder.finish()?)
}

/// Decodes compressed JSON of at most [`MAX_DECOMPRESSED_BYTES`].
fn decompress_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    let mut json = Vec::new();
    let mut decoder = ZlibDecoder::new(body).take(MAX_DECOMPRESSED_BYTES + 1);
    decoder.read_to_end(&mut json)?;
    if json.len() as u64 > MAX_DECOMPRESSED_BYTES {
        return Err(Error::failed(format!("content is over {MAX_DECOMPRESSED_BYTES} bytes")));
    }
    serde_json::from_slice(&json).map_err(|err| Error::failed(err.to_string()))
}
