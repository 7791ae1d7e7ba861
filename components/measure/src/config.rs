//! Configuration of the measured fleets, of the size that the design has to carry.

use sk_model::{ChangeRequest, RouteSetting, ServiceSetting, SettingBody, SettingWrites};

/// Number of services, one for each team; as many as the users' fleet has.
pub const SERVICE_COUNT: usize = 69;
/// Number of routes of each service.
pub const ROUTES_PER_SERVICE: usize = 6;
/// Token of every team in measurements.
pub const TEAM_TOKEN: &str = "measure team";

/// Returns the name of a team.
pub fn team_name(index: usize) -> String {
    format!("team{index:02}")
}

/// Returns the path of a team's service.
pub fn service_path(index: usize) -> String {
    format!("/{}/service", team_name(index))
}

/// Creates a route of a team's service. Only route 0 is repeatable.
fn route_body(index: usize, number: usize, deadline_ms: u64) -> SettingBody {
    SettingBody::Route(RouteSetting {
        repeatable: number == 0,
        deadline_ms,
        ..RouteSetting::new(format!("/{}/{number}", team_name(index)), service_path(index))
    })
}

/// Creates the first change of a team, which adds its service and routes.
pub fn first_change(index: usize) -> ChangeRequest {
    let description = format!("Service {index} of the measured fleet");
    let body = SettingBody::Service(ServiceSetting { description, ..ServiceSetting::default() });
    let mut writes = SettingWrites::from([(service_path(index), Some(body))]);
    for number in 0..ROUTES_PER_SERVICE {
        let path = format!("/{}/routes/{number}", team_name(index));
        writes.insert(path, Some(route_body(index, number, 5_000)));
    }
    change_request(index, "first", 0, writes)
}

/// Creates a change of one route of a team. `base` is the version of the team's last change, and
/// `round` makes the change's id and the route's deadline differ from those of earlier rounds.
pub fn route_change(index: usize, base: u64, round: u64) -> ChangeRequest {
    let path = format!("/{}/routes/1", team_name(index));
    let body = route_body(index, 1, 4_000 + round % 1_000);
    change_request(
        index,
        &format!("round-{round}"),
        base,
        SettingWrites::from([(path, Some(body))]),
    )
}

/// Creates a change of a team with the given writes.
fn change_request(index: usize, name: &str, base: u64, writes: SettingWrites) -> ChangeRequest {
    ChangeRequest {
        change_id: format!("{}-{name}", team_name(index)),
        team: team_name(index),
        author: "measure".to_owned(),
        revision: "0".to_owned(),
        base,
        writes,
    }
}
