//! Each team changes and reads only its own settings; managers' calls need the managers' token.

mod common;

use std::sync::atomic::Ordering;

use common::{MANAGER, TEAM, TOKENLESS_TEAM, TestServer};
use sk_model::is_content_hash;
use sk_ops::{hash_token, is_token};

fn change(team: &str) -> Vec<u8> {
    format!(
        "{{\"change_id\":\"c1\",\"team\":\"{team}\",\"author\":\"a\",\"revision\":\"r\",\
         \"base\":0,\"writes\":{{}}}}"
    )
    .into_bytes()
}

fn team_record(hash: &str) -> Vec<u8> {
    format!("{{\"token_sha256\":\"{hash}\"}}").into_bytes()
}

#[test]
fn token_matches_hash() {
    let hash = hash_token(TEAM);
    assert!(is_token(TEAM, &hash) && is_content_hash(&hash));
    for (token, hash) in
        [("", ""), (TEAM, ""), ("", hash.as_str()), (TEAM, &hash[..63]), (&hash, &hash)]
    {
        assert!(!is_token(token, hash), "{token} {hash}");
    }
    assert!(
        !is_content_hash(&hash.to_uppercase())
            && !is_content_hash("")
            && !is_content_hash(&hash[1..])
    );
}

#[test]
fn team_token_is_checked() {
    // A team's token is used on another team's subtree. If it were accepted, one team's mistake
    // would change what another team's callers receive.
    let server = TestServer::start(hash_token(MANAGER));
    let cases = [
        ("ledvica", TEAM, 200, None),
        ("ledvica", MANAGER, 403, Some("forbidden")),
        ("rest", TEAM, 403, Some("forbidden")),
        (TOKENLESS_TEAM, "", 401, Some("unauthorised")),
        (TOKENLESS_TEAM, TEAM, 403, Some("forbidden")),
        ("missing", TEAM, 404, Some("not-found")),
        ("../x", TEAM, 400, Some("malformed")),
        ("a/b", TEAM, 400, Some("malformed")),
    ];
    for (team, token, status, refusal) in cases {
        let answer = server.call("POST", "/v1/changes", token, &change(team));
        assert_eq!(answer.status, status, "{team} {token}: {answer:?}");
        assert_eq!(answer.refusal().as_deref(), refusal, "{team} {token}: {answer:?}");
    }
    assert_eq!(server.port.write_count(), 1);
}

#[test]
fn foreign_change() {
    // A guessed identifier would show another team's paths and authors.
    let server = TestServer::start(hash_token(MANAGER));
    for (token, status) in [(TEAM, 200), (MANAGER, 200), ("another", 403), ("", 401)] {
        let answer = server.call("GET", "/v1/changes/c1", token, b"");
        assert_eq!(answer.status, status, "{token}: {answer:?}");
        assert_eq!(answer.body.contains("/ledvica/a"), status == 200, "{token}: {answer:?}");
    }
}

const MANAGER_CALLS: [(&str, &str); 4] = [
    ("GET", "/v1/settings"),
    ("GET", "/v1/history"),
    ("GET", "/v1/report"),
    ("GET", "/v1/report/changes/1"),
];

#[test]
fn manager_token_is_checked() {
    let server = TestServer::start(hash_token(MANAGER));
    for token in ["", TEAM, "manager toke", &hash_token(MANAGER)] {
        for (method, path) in MANAGER_CALLS {
            let answer = server.call(method, path, token, b"");
            assert_eq!(answer.refusal().as_deref(), Some("unauthorised"), "{path}: {answer:?}");
        }
        let record = team_record(&hash_token("x"));
        let answer = server.call("PUT", "/v1/teams/ledvica", token, &record);
        assert_eq!(answer.refusal().as_deref(), Some("unauthorised"), "{answer:?}");
    }
    assert_eq!(server.port.reads.load(Ordering::SeqCst) + server.port.write_count(), 0);
}

#[test]
fn empty_manager_hash() {
    // The settings have no hash of a managers' token. An empty token must not match the empty hash.
    let server = TestServer::start(String::new());
    for token in ["", MANAGER] {
        let answer = server.call("GET", "/v1/history", token, b"");
        assert_eq!(answer.refusal().as_deref(), Some("unauthorised"), "{answer:?}");
    }
}

#[test]
fn team_name_bounds() {
    let server = TestServer::start(hash_token(MANAGER));
    let hash = hash_token("x");
    let long = "x".repeat(65);
    for team in ["a%2Fb", "..", "%2E%2E", "A", "a%20b", &long] {
        let path = format!("/v1/teams/{team}");
        let answer = server.call("PUT", &path, MANAGER, &team_record(&hash));
        assert!((400..500).contains(&answer.status), "{team}: {answer:?}");
    }
    for hash in ["", "x", &hash.to_uppercase(), &hash[1..]] {
        let answer = server.call("PUT", "/v1/teams/a", MANAGER, &team_record(hash));
        assert_eq!(answer.refusal().as_deref(), Some("malformed"), "{hash}: {answer:?}");
    }
    assert_eq!(server.port.write_count(), 0);
    let answer = server.call("PUT", "/v1/teams/a", MANAGER, &team_record(&hash));
    assert_eq!((answer.status, server.port.write_count()), (204, 1), "{answer:?}");
}
