//! The daemon's functions that the operators' interface calls.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use async_trait::async_trait;
use sk_model::{ChangeRecord, ChangeRequest, TeamName, Version};
use sk_report::{ChangeReport, FleetReport};

use crate::{
    HeartbeatBody, LeaveBody, OpsError, ServerAnnouncement, SettingsView, StateDump, TeamRecord,
};

/// A port that the interface's handlers share.
pub type SharedPort = Arc<dyn OperatorPort>;

/// The daemon as the operators' interface uses it.
///
/// # Errors
///
/// Each method returns the [`OpsError`] that is sent to the operator.
#[async_trait]
pub trait OperatorPort: Send + Sync {
    /// Returns the hash of the managers' token; an empty one refuses all managers' calls.
    fn manager_sha256(&self) -> &str;

    /// Reads a team, `None` where it was never created.
    async fn team(&self, team: &str) -> Result<Option<TeamRecord>, OpsError>;

    /// Creates a team or replaces its token.
    async fn put_team(&self, team: &TeamName, record: TeamRecord) -> Result<(), OpsError>;

    /// Submits a change on behalf of its team.
    async fn submit(&self, request: ChangeRequest) -> Result<ChangeRecord, OpsError>;

    /// Looks up an accepted change, `None` where there is none with this identifier.
    async fn find_change(&self, change_id: &str) -> Result<Option<ChangeRecord>, OpsError>;

    /// Reads the newest accepted configuration.
    async fn read_newest(&self) -> Result<SettingsView, OpsError>;

    /// Reads up to `max_records` changes from version `from` on, in version order.
    async fn history(
        &self,
        from: Version,
        max_records: usize,
    ) -> Result<Vec<ChangeRecord>, OpsError>;

    /// Reports which version each daemon applies.
    async fn report(&self) -> Result<FleetReport, OpsError>;

    /// Reports how one change spread through the fleet.
    async fn change_report(&self, version: Version) -> Result<ChangeReport, OpsError>;

    /// Returns the state of this daemon, without a call to the platform.
    fn state(&self) -> StateDump;

    /// Returns the IPs that other instances reach the daemon by. Loopback addresses always count as
    /// the instance's own and need not be among them.
    fn own_ips(&self) -> Vec<IpAddr>;

    /// Returns the version in force, `None` while the daemon must not receive requests.
    fn ready(&self) -> Option<Version>;

    /// Handles a checked heartbeat of the local backend server `name`, which listens on `address`.
    async fn handle_heartbeat(
        &self,
        name: &str,
        heartbeat: HeartbeatBody,
        address: SocketAddr,
    ) -> Result<(), OpsError>;

    /// Handles the deregistration of the local backend server `name`.
    async fn deregister_server(&self, name: &str, leave: LeaveBody) -> Result<(), OpsError>;

    /// Handles a checked announcement of the local backend server, which listens on `address`.
    fn announce_server(
        &self,
        announcement: ServerAnnouncement,
        address: SocketAddr,
    ) -> Result<(), OpsError>;
}
