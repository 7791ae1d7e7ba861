//! What the interface needs of the daemon.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use async_trait::async_trait;
use sk_model::{ChangeRecord, ChangeRequest, TeamName, Version};
use sk_report::{ChangeReport, FleetReport};

use crate::{HeldView, OpsError, ServerAnnouncement, ServerBeat, StateDump, TeamRecord};

/// A port shared by the interface's handlers.
pub type SharedPort = Arc<dyn OperatorPort>;

/// The daemon as the operators' interface sees it.
///
/// # Errors
///
/// Each method returns the [`OpsError`] that the operator is to see.
#[async_trait]
pub trait OperatorPort: Send + Sync {
    /// Gives the hash of the managers' token; empty refuses every manager's call.
    fn manager_sha256(&self) -> &str;

    /// Reads a team, none where it was never created.
    async fn team(&self, team: &str) -> Result<Option<TeamRecord>, OpsError>;

    /// Creates a team or gives it another token.
    async fn put_team(&self, team: &TeamName, record: TeamRecord) -> Result<(), OpsError>;

    /// Submits a change on behalf of its team.
    async fn submit(&self, request: ChangeRequest) -> Result<ChangeRecord, OpsError>;

    /// Looks a change up, none where it is not in force.
    async fn outcome(&self, change_id: &str) -> Result<Option<ChangeRecord>, OpsError>;

    /// Reads the newest accepted configuration.
    async fn newest(&self) -> Result<HeldView, OpsError>;

    /// Reads history in version order.
    async fn history(&self, from: Version, most: usize) -> Result<Vec<ChangeRecord>, OpsError>;

    /// Reports who holds what.
    async fn report(&self) -> Result<FleetReport, OpsError>;

    /// Reports how one change went through the fleet.
    async fn change_report(&self, version: Version) -> Result<ChangeReport, OpsError>;

    /// Gives the state of this daemon, without asking the platform.
    fn state(&self) -> StateDump;

    /// Gives the IPs that the daemon is known by, besides loopback.
    fn own_ips(&self) -> Vec<IpAddr>;

    /// Gives the version in force, none while the daemon must not be given requests.
    fn ready(&self) -> Option<Version>;

    /// Takes a checked heartbeat of the local backend server `name`, which listens at `address`.
    fn beat(&self, name: &str, beat: ServerBeat, address: SocketAddr) -> Result<(), OpsError>;

    /// Takes the good-bye of the local backend server `name`.
    fn leave(&self, name: &str) -> Result<(), OpsError>;

    /// Takes a checked announcement of the local backend server, which listens at `address`.
    fn announce(
        &self,
        announcement: ServerAnnouncement,
        address: SocketAddr,
    ) -> Result<(), OpsError>;
}
