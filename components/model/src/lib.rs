//! Declarations, services, routes and whole configuration snapshots.
//!
//! Everything here is plain data with pure functions, except for the functions that read the wall
//! clock.

mod ack;
mod change;
mod clock;
mod declaration;
mod hash;
mod number;
mod path;
mod snapshot;
mod text_position;
mod validate;
mod workspace;

pub use ack::{ProxyAck, RejectedVersion};
pub use change::{ChangeRecord, ChangeRequest, SettingWrites, diff_settings};
pub use clock::{unix_time, unix_time_ms};
pub use declaration::{
    DeclarationError, LimitSetting, LocatedDeclarationError, MAX_DECLARATION_BYTES,
    MAX_SPLIT_WEIGHT, RouteHandling, RouteSetting, ServiceSetting, SettingBody, SplitPart,
    ValueSetting, WorkClass, parse_declaration,
};
pub use hash::{content_hash, hash_json, is_content_hash};
pub use number::{deserialize_floor, deserialize_floor_option, floor_number};
pub use path::{
    MAX_PATH_BYTES, MAX_TEAM_BYTES, PathError, SettingPath, TeamName, check_path, check_team,
    team_of,
};
pub use snapshot::{ConfigSnapshot, SnapshotRoot, TeamTree, TreeRef};
pub use text_position::TextPosition;
pub use validate::{ConfigFault, validate_trees};
pub use workspace::WorkspaceSetting;

/// Number of an accepted configuration. Zero means that there is no configuration yet.
pub type Version = u64;
/// Hexadecimal SHA-256 of a canonical encoding.
pub type ContentHash = String;
/// Name of a service: the path of the setting that declares it.
pub type ServiceName = SettingPath;
/// Name of one daemon, unique in the fleet; set in the daemon's settings.
pub type ProxyId = String;
/// Name of a data centre.
pub type DataCentre = String;
/// Identifier that an operator chooses for a change, to look it up later.
pub type ChangeId = String;
/// Milliseconds since the Unix epoch, on the clock of the process that took the time.
pub type UnixMillis = u64;
