//! Any invalid input is answered with a typed error and has no effect.

mod common;

use std::sync::LazyLock;

use common::{MANAGER, TEAM, TestServer};
use proptest::{collection::vec, prelude::*};
use sk_ops::hash_token;

static SERVER: LazyLock<TestServer> = LazyLock::new(|| TestServer::start(hash_token(MANAGER)));

const BODY_CALLS: [(&str, &str); 3] =
    [("POST", "/v1/changes"), ("PUT", "/v1/teams/ledvica"), ("PUT", "/v1/server")];

/// Random bytes, and JSON that resembles valid bodies.
fn any_body() -> impl Strategy<Value = Vec<u8>> {
    let field = prop_oneof![
        Just("change_id"),
        Just("team"),
        Just("writes"),
        Just("token_sha256"),
        Just("service"),
        Just("address"),
        Just("slots"),
    ];
    let value = prop_oneof![
        any::<i64>().prop_map(|number| number.to_string()),
        "[ -~&&[^\"\\\\]]{0,80}".prop_map(|text| format!("\"{text}\"")),
        Just("{\"/ledvica/a\":null}".to_owned()),
        Just("[[[[[[]]]]]]".to_owned()),
    ];
    let json = vec((field, value), 0..5).prop_map(|fields| {
        let fields: Vec<String> =
            fields.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
        format!("{{{}}}", fields.join(",")).into_bytes()
    });
    prop_oneof![vec(any::<u8>(), 0..300), json]
}

fn any_headers() -> impl Strategy<Value = Vec<u8>> {
    let token = prop_oneof![Just(MANAGER.to_owned()), Just(TEAM.to_owned()), "[!-~]{0,40}"];
    let scheme = prop_oneof![Just("Bearer "), Just("bearer"), Just("Basic "), Just("")];
    let kind = prop_oneof![Just("application/json"), Just("text/plain"), Just("\u{e9}")];
    (token, scheme, kind, any::<bool>()).prop_map(|(token, scheme, kind, is_sent)| {
        let sent = format!("Authorization: {scheme}{token}\r\n");
        let authorisation = if is_sent { sent } else { String::new() };
        format!("{authorisation}Content-Type: {kind}\r\n").into_bytes()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn any_call_is_refused(
        call in 0..BODY_CALLS.len(),
        headers in any_headers(),
        body in any_body(),
    ) {
        let (method, path) = BODY_CALLS[call];
        let answer = SERVER.call_raw(method, path, &headers, &body);
        prop_assert!((400..500).contains(&answer.status), "{:?}", answer);
        prop_assert!(answer.refusal().is_some(), "{:?}", answer);
        prop_assert_eq!(SERVER.port.write_count(), 0);
    }

    #[test]
    fn any_path_is_refused(segment in "[!-~&&[^?#/ ]]{0,90}", root in 0..5usize) {
        let roots =
            ["/v1/changes/", "/v1/settings?team=", "/v1/history?from=", "/v1/report/changes/", "/"];
        let path = format!("{}{segment}", roots[root]);
        let answer = SERVER.call("GET", &path, "unknown", b"");
        prop_assert!((400..500).contains(&answer.status), "{:?}", answer);
        // An invalid URI is refused by the HTTP library before it reaches the interface.
        if path.parse::<http::Uri>().is_err() {
            return Ok(());
        }
        // For unknown paths the library answers with its own JSON error.
        let body = serde_json::from_str::<serde_json::Value>(&answer.body).unwrap_or_default();
        prop_assert!(answer.refusal().is_some() || body["message"].is_string(), "{:?}", answer);
    }
}

#[test]
fn large_body() {
    let body = vec![b' '; 2_000_001];
    for (method, path) in BODY_CALLS {
        let answer = SERVER.call(method, path, MANAGER, &body);
        assert_eq!(answer.refusal().as_deref(), Some("malformed"), "{path}: {answer:?}");
    }
    assert_eq!(SERVER.port.write_count(), 0);
}

#[test]
fn long_change_id() {
    let answer = SERVER.call("GET", &format!("/v1/changes/{}", "x".repeat(65)), TEAM, b"");
    assert_eq!(answer.refusal().as_deref(), Some("malformed"), "{answer:?}");
}
