//! Checks of paths and of whole configurations.

use std::{collections::BTreeMap, sync::Arc};

use proptest::prelude::*;
use sk_model::{ConfigFault, TeamTree, check_path, parse_declaration, team_of, validate_trees};

fn tree(settings: &[(&str, &str)]) -> Arc<TeamTree> {
    let parse = |(path, text): &(&str, &str)| {
        ((*path).to_owned(), parse_declaration(text).expect("a valid declaration"))
    };
    Arc::new(TeamTree { settings: settings.iter().map(parse).collect() })
}

#[test]
fn valid_paths() {
    assert_eq!(check_path("/ledvica/board/main"), Ok(()));
    assert_eq!(team_of("/ledvica/board/main"), "ledvica");
}

#[test]
fn invalid_paths() {
    for path in ["", "/", "/a", "a/b", "/a//b", "/a/..", "/A/b", "/a/b/"] {
        assert!(check_path(path).is_err(), "{path}");
    }
}

#[test]
fn missing_service() {
    let route = "kind = \"route\"\nprefix = \"/board\"\nservice = \"/other/board\"\n";
    let trees = BTreeMap::from([("one".to_owned(), tree(&[("/one/r", route)]))]);
    let faults = validate_trees(&trees);
    assert!(matches!(faults.as_slice(), [ConfigFault::MissingService { .. }]), "{faults:?}");
}

#[test]
fn unknown_key() {
    assert!(parse_declaration("kind = \"service\"\ncolour = \"red\"\n").is_err());
}

proptest! {
    #[test]
    fn any_text_never_panics(text in ".{0,200}") {
        // Any text yields a typed result and no panic.
        let _ = check_path(&text);
        let _ = parse_declaration(&text);
    }
}
