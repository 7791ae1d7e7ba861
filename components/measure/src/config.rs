//! A configuration of the size that decides the design.

use sk_model::{ChangeRequest, RouteSetting, ServiceSetting, SettingBody, SettingWrites};

/// Services, one a team, as the users' letter gives them.
pub const SERVICES: usize = 69;
/// Routes of each service.
pub const ROUTES: usize = 6;
/// Token of every team in measurements.
pub const TEAM_TOKEN: &str = "measure team";

/// Names a team.
pub fn team(index: usize) -> String {
    format!("team{index:02}")
}

/// Names the service of a team.
pub fn service(index: usize) -> String {
    format!("/{}/service", team(index))
}

fn route(index: usize, number: usize, deadline_ms: u64) -> SettingBody {
    SettingBody::Route(RouteSetting {
        repeatable: number == 0,
        deadline_ms,
        ..RouteSetting::new(format!("/{}/{number}", team(index)), service(index))
    })
}

/// Makes the first change of a team: its service and routes.
pub fn first_change(index: usize) -> ChangeRequest {
    let description = format!("Service {index} of the measured fleet");
    let body = SettingBody::Service(ServiceSetting { description, ..ServiceSetting::default() });
    let mut writes = SettingWrites::from([(service(index), Some(body))]);
    for number in 0..ROUTES {
        let path = format!("/{}/routes/{number}", team(index));
        writes.insert(path, Some(route(index, number, 5_000)));
    }
    request(index, "first", 0, writes)
}

/// Makes a change of one route.
pub fn route_change(index: usize, base: u64, round: u64) -> ChangeRequest {
    let path = format!("/{}/routes/1", team(index));
    let body = route(index, 1, 4_000 + round % 1_000);
    request(index, &format!("round-{round}"), base, SettingWrites::from([(path, Some(body))]))
}

fn request(index: usize, name: &str, base: u64, writes: SettingWrites) -> ChangeRequest {
    ChangeRequest {
        change_id: format!("{}-{name}", team(index)),
        team: team(index),
        author: "measure".to_owned(),
        revision: "0".to_owned(),
        base,
        writes,
    }
}
