//! The record that each daemon spreads about itself and its backend server.

use std::{cmp::Ordering, net::SocketAddr};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sk_model::{DataCentre, ProxyId, ServiceName};

/// Start of a daemon's process, in milliseconds since the epoch; a later process has a greater one.
pub type Incarnation = u64;
/// Identifier a backend server's process draws at its start; never used by two processes.
pub type ServerId = String;

/// Whether a daemon takes part.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// Takes part.
    #[display("alive")]
    Alive,
    /// Observers lost it, but too few to count it as gone.
    #[display("suspect")]
    Suspect,
    /// Finishes what it has and takes no new work.
    #[display("leaving")]
    Leaving,
    /// Gone, until a record with a greater sequence or incarnation says otherwise.
    #[display("gone")]
    Gone,
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointStatus {
    /// Takes new work.
    #[display("ready")]
    Ready,
    /// Finishes what it has.
    #[display("draining")]
    Draining,
}

/// A backend server beside a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Service the server runs.
    pub service: ServiceName,
    /// The server's process.
    pub server: ServerId,
    /// Requests the server works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub status: EndpointStatus,
}

/// What a daemon says of itself. Only its owner raises the sequence; others may spread a copy
/// whose status is [`MemberStatus::Suspect`] or [`MemberStatus::Gone`] at the same sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the daemon.
    pub proxy: ProxyId,
    /// Process of the daemon.
    pub incarnation: Incarnation,
    /// Counts the owner's own changes within one incarnation.
    pub sequence: u64,
    /// Whether the daemon takes part.
    pub status: MemberStatus,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Region of the instance.
    pub region: String,
    /// Address for control traffic.
    pub control: SocketAddr,
    /// Address for requests to the local backend server.
    pub guard: SocketAddr,
    /// Backend servers beside the daemon.
    pub endpoints: Vec<EndpointRecord>,
}

impl MemberRecord {
    /// Gives the order of records about one daemon: the greater one holds.
    pub fn rank(&self) -> (Incarnation, u64, u8) {
        let status = match self.status {
            MemberStatus::Alive => 0,
            MemberStatus::Suspect => 1,
            MemberStatus::Leaving => 2,
            MemberStatus::Gone => 3,
        };
        (self.incarnation, self.sequence, status)
    }

    /// Compares two records about one daemon. It is a total order, so that whatever order records
    /// come in, all daemons end with the same one.
    ///
    /// Only two processes that started in the same millisecond under one name can say different
    /// things at one rank; the order of their words is arbitrary but the same everywhere.
    pub fn cmp_rank(&self, other: &Self) -> Ordering {
        let content = |record: &Self| (record.control, record.guard, record.region.clone());
        let by_rank = self.rank().cmp(&other.rank());
        by_rank
            .then_with(|| content(self).cmp(&content(other)))
            .then_with(|| self.data_centre.cmp(&other.data_centre))
            .then_with(|| self.endpoints.cmp(&other.endpoints))
    }

    /// Tells whether the daemon's process is believed to run. One that leaves finishes requests,
    /// which make calls of their own, for up to minutes: it stays in the overlay until it is gone.
    pub fn is_running(&self) -> bool {
        self.status != MemberStatus::Gone
    }

    /// Tells whether the daemon is believed reachable for control traffic, and stays.
    pub fn is_present(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }
}
