//! The record that each daemon spreads about itself and its backend server.
//!
//! Records about one daemon are totally ordered, so that all daemons end with the same record in
//! whatever order they receive them.

use std::{cmp::Ordering, net::SocketAddr};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sk_model::{DataCentre, ProxyId, ServiceName};

/// Start of a daemon's process in milliseconds since the Unix epoch; a later process has a greater
/// value.
pub type Incarnation = u64;
/// Identifier of a backend server's process: the one that the server announces, or its name and
/// start, such as `board:1700000000000`. Processes of one name that report no start share it.
pub type ServerId = String;
/// Version of a backend server's software, as the server reports it.
pub type ServerVersion = String;

/// Participation of a daemon in the fleet.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// Accepts new work.
    #[display("alive")]
    Alive,
    /// Some observers do not hear from it, but too few to count it as gone.
    #[display("suspect")]
    Suspect,
    /// Finishes its running requests and accepts no new work.
    #[display("leaving")]
    Leaving,
    /// Gone, until a record with a greater sequence or incarnation replaces this one.
    #[display("gone")]
    Gone,
}

/// Readiness of a backend server for new work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointStatus {
    /// Accepts new work.
    #[display("ready")]
    Ready,
    /// Finishes its running requests and accepts no new work.
    #[display("draining")]
    Draining,
}

/// A backend server on the instance of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Service that the server runs.
    pub service: ServiceName,
    /// Identifier of the server process.
    pub server: ServerId,
    /// Number of requests that the server handles at once.
    pub slots: u32,
    /// Whether the server accepts new work.
    pub status: EndpointStatus,
    /// Version of the server's software, empty while it is not known.
    #[serde(default)]
    pub version: ServerVersion,
}

/// Description of a daemon, published by the daemon itself.
///
/// Only the owner raises the sequence. Other daemons may spread a copy with the status
/// [`MemberStatus::Suspect`] or [`MemberStatus::Gone`] at the same sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the daemon.
    pub proxy: ProxyId,
    /// Start of the daemon process.
    pub incarnation: Incarnation,
    /// Number of changes that the owner made within one incarnation.
    pub sequence: u64,
    /// Participation of the daemon.
    pub status: MemberStatus,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Region of the instance.
    pub region: String,
    /// Address for control traffic.
    pub control: SocketAddr,
    /// Address for requests to the local backend server.
    pub guard: SocketAddr,
    /// Backend servers on the instance of the daemon.
    pub endpoints: Vec<EndpointRecord>,
}

impl MemberRecord {
    /// Returns the rank of the record among records about one daemon: the record with the greatest
    /// rank is valid.
    pub fn rank(&self) -> (Incarnation, u64, u8) {
        let status = match self.status {
            MemberStatus::Alive => 0,
            MemberStatus::Suspect => 1,
            MemberStatus::Leaving => 2,
            MemberStatus::Gone => 3,
        };
        (self.incarnation, self.sequence, status)
    }

    /// Compares two records about one daemon.
    ///
    /// The order is total, so that all daemons end with the same record in whatever order they
    /// receive them. Records of equal rank differ only if two processes with one name started in
    /// the same millisecond; their order is arbitrary, but the same on every daemon.
    pub fn cmp_rank(&self, other: &Self) -> Ordering {
        let content = |record: &Self| (record.control, record.guard, record.region.clone());
        let rank_order = self.rank().cmp(&other.rank());
        rank_order
            .then_with(|| content(self).cmp(&content(other)))
            .then_with(|| self.data_centre.cmp(&other.data_centre))
            .then_with(|| self.endpoints.cmp(&other.endpoints))
    }

    /// Returns whether the daemon's process is believed to run.
    ///
    /// A leaving daemon finishes requests, which make calls of their own, for up to minutes. It
    /// therefore stays in the overlay until it is gone.
    pub fn is_running(&self) -> bool {
        self.status != MemberStatus::Gone
    }

    /// Returns whether the daemon is believed to be reachable for control traffic and is not
    /// leaving.
    pub fn is_active(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }
}
