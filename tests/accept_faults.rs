//! Acceptance of changes during races between operators and faults of the platform.

mod common;

use common::{
    DaemonPlan, MANAGER_TOKEN, TEAM_TOKEN, TestDirectory, TestProcess, call_with_body,
    platform_address, read_in_force, render_output, run_cli, start_daemon, start_platform,
    wait_for,
};

const SERVICE: &str = "kind = \"service\"\n";

struct TestFleet {
    platform: TestProcess,
    daemons: Vec<TestProcess>,
    directory: TestDirectory,
}

fn start_fleet(name: &str) -> TestFleet {
    let directory = TestDirectory::new(name);
    let platform = start_platform();
    let address = platform_address(&platform);
    let mut daemons: Vec<TestProcess> = Vec::new();
    for index in 0..2 {
        let seeds: Vec<String> = daemons.iter().map(|daemon| daemon.address("control")).collect();
        let plan = DaemonPlan {
            name: &format!("daemon{index}"),
            data_centre: "lj1",
            platform: &address,
            seeds: &seeds,
            extra: "",
        };
        daemons.push(start_daemon(&directory.0, &plan));
    }
    let fleet = TestFleet { platform, daemons, directory };
    wait_for("the daemons to join", || read_in_force(&fleet.ops(0)).1 == 2);
    let hash = sk_ops::hash_token(TEAM_TOKEN);
    let output = run_cli(&fleet.ops(0), MANAGER_TOKEN, &["team", "ana", "--token-sha256", &hash]);
    assert!(output.status.success(), "{}", render_output(&output));
    fleet
}

impl TestFleet {
    fn ops(&self, index: usize) -> String {
        self.daemons[index].address("ops")
    }

    /// Writes a declaration of one service and returns its directory.
    fn declare(&self, folder: &str, name: &str) -> String {
        self.directory.write(&format!("{folder}/ana/{name}.toml"), SERVICE);
        self.directory.0.join(folder).to_str().expect("path is text").to_owned()
    }

    fn apply(&self, index: usize, folder: &str, author: &str) -> std::process::Output {
        let args = ["apply", folder, "--revision", "r1", "--author", author];
        run_cli(&self.ops(index), TEAM_TOKEN, &args)
    }

    fn set_faults(&self, faults: &str) {
        let platform = platform_address(&self.platform);
        let answer =
            call_with_body(&platform, "PUT", "/v1/faults", faults).expect("platform answers");
        assert_eq!(answer.status, 204, "{answer:?}");
    }

    /// Returns the report of the team's accepted changes.
    fn history(&self) -> String {
        let output = run_cli(&self.ops(0), MANAGER_TOKEN, &["report", "--team", "ana"]);
        String::from_utf8_lossy(&output.stdout).into_owned()
    }
}

// Two operators of one team apply changes at the same time through different daemons. Without the
// condition on the version that each has read, the later write would silently undo the earlier one.
#[test]
fn operators_race() {
    let fleet = start_fleet("operators_race");
    let (first, second) = (fleet.declare("first", "one"), fleet.declare("second", "two"));
    let outputs: Vec<_> = std::thread::scope(|scope| {
        let fleet = &fleet;
        let first = scope.spawn(move || fleet.apply(0, &first, "ana"));
        let second = scope.spawn(move || fleet.apply(1, &second, "bor"));
        [first, second].into_iter().map(|thread| thread.join().expect("operator")).collect()
    });
    let accepted = outputs.iter().filter(|output| output.status.success()).count();
    let history = fleet.history();
    // Either one was refused, or the second had read the first and replaced it knowingly.
    match accepted {
        1 => {
            let refused =
                outputs.iter().find(|output| !output.status.success()).expect("one was refused");
            assert_eq!(refused.status.code(), Some(1));
            assert!(render_output(refused).contains("version 1 by"), "{}", render_output(refused));
            assert!(!history.contains("version 2"), "{history}");
        }
        2 => assert!(history.contains("withdrew /ana/"), "{history}"),
        _ => panic!("{outputs:?}"),
    }
}

// The platform accepts the commit, but its answer is lost. A failure reported to the operator would
// be false, and a blind retry would create a second version.
#[test]
fn lost_answer() {
    let fleet = start_fleet("lost_answer");
    let folder = fleet.declare("first", "one");
    fleet.set_faults("{\"lose_write_answers\": 3}");
    let output = fleet.apply(0, &folder, "ana");
    assert!(output.status.success(), "{}", render_output(&output));
    let history = fleet.history();
    assert_eq!(history.matches("version ").count(), 1, "{history}");
    assert!(history.contains("wrote /ana/one"), "{history}");
}

// The platform is unavailable while an operator applies a change. The change must not be reported
// as accepted, and the same command must succeed once the platform is available again.
#[test]
fn platform_outage() {
    let fleet = start_fleet("platform_outage");
    let folder = fleet.declare("first", "one");
    fleet.set_faults("{\"is_down\": true}");
    let output = fleet.apply(0, &folder, "ana");
    assert_eq!(output.status.code(), Some(1), "{}", render_output(&output));
    assert!(
        render_output(&output).contains("not accepted; retry at "),
        "{}",
        render_output(&output)
    );
    fleet.set_faults("{}");
    let output = fleet.apply(0, &folder, "ana");
    assert!(output.status.success(), "{}", render_output(&output));
    assert_eq!(fleet.history().matches("version ").count(), 1);
    wait_for("2 of 2 in force", || read_in_force(&fleet.ops(0)) == (2, 2));
}

// A team uses a change id that another team has used. The refusal must not reveal what the other
// team changed.
#[test]
fn foreign_id() {
    let fleet = start_fleet("foreign_id");
    let hash = sk_ops::hash_token("bor token");
    let team = ["team", "bor", "--token-sha256", &hash];
    assert!(run_cli(&fleet.ops(0), MANAGER_TOKEN, &team).status.success());
    let change = |team: &str| {
        format!(
            r#"{{"change_id":"x","team":"{team}","author":"a","revision":"1","base":0,
            "writes":{{"/{team}/one":{{"kind":"service"}}}}}}"#
        )
    };
    let post = |token: &str, team: &str| {
        let headers = format!("Authorization: Bearer {token}\r\n");
        common::call_with(&fleet.ops(0), "POST", "/v1/changes", &headers, &change(team))
            .expect("an answer")
    };
    assert_eq!(post(TEAM_TOKEN, "ana").status, 200);
    let answer = post("bor token", "bor");
    assert_eq!(answer.status, 400, "{answer:?}");
    assert!(!answer.body.contains("/ana/"), "{answer:?}");
}

// A team's token must not change another team's subtree, through a path inside a change of its own.
#[test]
fn foreign_subtree() {
    let fleet = start_fleet("foreign_subtree");
    let change = r#"{"change_id":"x","team":"ana","author":"ana","revision":"1","base":0,
        "writes":{"/bor/one":{"kind":"service"}}}"#;
    let headers = format!("Authorization: Bearer {TEAM_TOKEN}\r\n");
    let answer = common::call_with(&fleet.ops(0), "POST", "/v1/changes", &headers, change)
        .expect("an answer");
    assert_eq!(answer.status, 400, "{answer:?}");
    assert_eq!(fleet.history(), "");
}
