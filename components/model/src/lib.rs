//! Declarations, services, routes and whole configuration snapshots.
//!
//! Everything here is plain data with pure functions, but for the one reader of the time of day.

mod ack;
mod change;
mod clock;
mod declaration;
mod hash;
mod path;
mod place;
mod snapshot;
mod validate;

pub use ack::{ProxyAck, RejectedVersion};
pub use change::{ChangeRecord, ChangeRequest, SettingWrites, make_writes};
pub use clock::{unix_now, unix_time};
pub use declaration::{
    DeclarationError, DeclarationFault, LimitSetting, MAX_DECLARATION_BYTES, RouteKind,
    RouteSetting, ServiceSetting, SettingBody, SplitPart, ValueSetting, WorkClass,
    parse_declaration,
};
pub use hash::{content_hash, hash_json, is_hash};
pub use path::{
    MAX_PATH_BYTES, MAX_TEAM_BYTES, PathError, SettingPath, TeamName, check_path, check_team,
    team_of,
};
pub use place::TextPlace;
pub use snapshot::{ConfigSnapshot, SnapshotRoot, TeamTree, TreeRef};
pub use validate::{ConfigFault, validate_trees};

/// Number of an accepted configuration. Zero stands for "no configuration yet".
pub type Version = u64;
/// Hexadecimal SHA-256 of a canonical encoding.
pub type ContentHash = String;
/// Path of the service setting that declares a service.
pub type ServiceName = SettingPath;
/// Name of one daemon, unique in the fleet, taken from its settings.
pub type ProxyId = String;
/// Name of a data centre.
pub type DataCentre = String;
/// Identifier an operator gives to a change so that it can be looked up later.
pub type ChangeId = String;
/// Milliseconds since the Unix epoch, on the clock of whoever wrote them.
pub type UnixMillis = u64;
