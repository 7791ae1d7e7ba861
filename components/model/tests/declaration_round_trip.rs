//! Declarations are parsed as they were written, and the writes of a change reach what is declared.

use std::{collections::BTreeMap, sync::Arc};

use expect_test::{Expect, expect};
use proptest::{collection::btree_map, option, prelude::*};
use sk_model::{
    RouteHandling, RouteSetting, ServiceSetting, SettingBody, SettingPath, TeamTree, ValueSetting,
    WorkClass, diff_settings, parse_declaration, validate_trees,
};

type SettingMap = BTreeMap<SettingPath, SettingBody>;

const SERVICES: [&str; 2] = ["/t/s/one", "/t/s/two"];

fn any_route() -> impl Strategy<Value = SettingBody> {
    let class = prop_oneof![Just(WorkClass::Short), Just(WorkClass::Long)];
    let host = option::of("[a-z.]{1,12}");
    let handling = option::of(prop_oneof![
        Just(RouteHandling::Safe),
        Just(RouteHandling::Unsafe),
        Just(RouteHandling::Download)
    ]);
    let work = (class, handling, option::of(1..=60_000u64), option::of(1..=16u8), any::<u8>());
    (host, "/[a-z/]{0,8}", 0..SERVICES.len(), any::<bool>(), work, 1..=120_000u64).prop_map(
        |(host, prefix, service, repeatable, work, deadline_ms)| {
            let (class, handling, goal_ms, max_attempts, rank) = work;
            let service = SERVICES[service].to_owned();
            SettingBody::Route(RouteSetting {
                host,
                repeatable,
                class,
                handling,
                goal_ms,
                max_attempts,
                rank,
                deadline_ms,
                ..RouteSetting::new(prefix, service)
            })
        },
    )
}

fn any_body() -> impl Strategy<Value = SettingBody> {
    prop_oneof![
        any::<String>().prop_map(|description| SettingBody::Service(ServiceSetting {
            description,
            ..ServiceSetting::default()
        })),
        any::<String>().prop_map(|text| SettingBody::Value(ValueSetting { text })),
        any_route(),
    ]
}

fn any_settings() -> impl Strategy<Value = SettingMap> {
    btree_map("/t/[ab]/[a-c]", any_body(), 0..8).prop_map(|mut settings| {
        for service in SERVICES {
            let body = SettingBody::Service(ServiceSetting::default());
            settings.insert(service.to_owned(), body);
        }
        settings
    })
}

proptest! {
    #[test]
    fn toml_round_trip(body in any_body()) {
        let text = toml::to_string(&body).expect("bodies encode");
        prop_assert_eq!(parse_declaration(&text), Ok(body));
    }

    // Daemons pass settings on as JSON. A setting that cannot be decoded is refused by every daemon
    // that receives it, so only the daemons that read the platform would apply it.
    #[test]
    fn json_round_trip(body in any_body()) {
        let text = serde_json::to_string(&body).expect("bodies encode");
        prop_assert_eq!(serde_json::from_str::<SettingBody>(&text).ok(), Some(body));
    }

    #[test]
    fn faults_lie_within_text(text in "(kind = \"(service|route|value|x)\"\n)?(prefix|host|text|\\PC{0,9}) ?= ?(\"\\PC{0,9}\"|[0-9]{1,20}|\\[|\\{|\n){0,4}") {
        if let Err(fault) = parse_declaration(&text) {
            prop_assert!(fault.position.line <= text.matches('\n').count() + 1, "{}", fault);
        }
    }

    #[test]
    fn writes_reach_declared(accepted in any_settings(), declared in any_settings()) {
        let writes = diff_settings(&accepted, &declared);
        let reached = TeamTree { settings: accepted.clone() }.with_writes(&writes);
        prop_assert_eq!(&reached.settings, &declared);
        // No setting is written that is equal already, and none is withdrawn that does not exist.
        for (path, body) in &writes {
            prop_assert_ne!(accepted.get(path), body.as_ref());
        }
        prop_assert!(diff_settings(&reached.settings, &declared).is_empty());
        // Only clashing routes are possible faults: all paths, services and bounds are valid.
        let faults = validate_trees(&BTreeMap::from([("t".to_owned(), Arc::new(reached))]));
        let is_clash = |fault: &sk_model::ConfigFault| {
            matches!(fault, sk_model::ConfigFault::RouteClash { .. })
        };
        prop_assert!(faults.iter().all(is_clash), "{:?}", faults);
    }
}

fn assert_fault(text: &str, expected: Expect) {
    expected.assert_eq(&parse_declaration(text).expect_err("an invalid declaration").to_string());
}

#[test]
fn faults_show_position() {
    assert_fault(
        "",
        expect![
            "1:1: `kind` is missing or not a string; allowed: service, route, value, limits, workspace"
        ],
    );
    assert_fault(
        "\nkind = 3\n",
        expect![
            "2:1: `kind` is missing or not a string; allowed: service, route, value, limits, workspace"
        ],
    );
    assert_fault(
        "kind = \"rout\"\n",
        expect!["1:8: `kind` is rout; allowed: service, route, value, limits, workspace"],
    );
    assert_fault(
        "kind = \"service\"\n\ncolour = \"red\"\n",
        expect![
            "3:1: unknown field `colour`, expected one of `description`, `connections`, `health_path`"
        ],
    );
    assert_fault(
        "kind = \"value\"\ntext = 7\n",
        expect!["2:8: `text`: invalid type: integer `7`, expected a string"],
    );
    assert_fault("kind = \"value\"\ntext = \"a\"\ntext = \"b\"\n", expect!["3:1: duplicate key"]);
    assert_fault(
        "kind = \"route\"\nprefix = \"board\"\nservice = \"/t/s\"\n",
        expect!["2:1: `prefix` is board; allowed: a path that begins with `/`"],
    );
    assert_fault("kind = \"route\"\nservice = \"/t/s\"\n", expect!["1:1: missing field `prefix`"]);
    assert_fault(
        &format!("kind = \"value\"\ntext = \"{}\"\n", "x".repeat(70_000)),
        expect!["1:1: declaration is larger than 65536 bytes"],
    );
}
