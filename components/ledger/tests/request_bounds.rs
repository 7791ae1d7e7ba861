//! Requests that are invalid for any configuration, and values that would be too large.

mod common;

use std::sync::Arc;

use common::{quick_ledger, request, value};
use expect_test::expect;
use sk_ledger::SubmitError;
use sk_model::{ChangeRequest, SettingBody};
use sk_store::FaultStore;

fn many(count: usize) -> impl Iterator<Item = (String, Option<SettingBody>)> {
    (0..count).map(|number| (format!("/one/{number:0>100}"), Some(value(number))))
}

#[tokio::test]
async fn refused_requests() {
    let store = FaultStore::new(&Arc::default());
    let ledger = quick_ledger(&store);
    let good = request("c1", "ana", 0, &[("/one/value", Some(value(1)))]);
    let with_id = |id: &str| ChangeRequest { change_id: id.to_owned(), ..good.clone() };
    let write = |path: &str, body| request("c1", "ana", 0, &[("/one/value", None), (path, body)]);
    let cases = [
        with_id(""),
        with_id("../head"),
        with_id("a&expected=1"),
        with_id(&"c".repeat(65)),
        ChangeRequest { author: String::new(), ..good.clone() },
        ChangeRequest { revision: "r\n".to_owned(), ..good.clone() },
        ChangeRequest { writes: Default::default(), ..good.clone() },
        ChangeRequest { writes: many(1001).collect(), ..good.clone() },
        ChangeRequest { writes: many(600).collect(), ..good.clone() },
        ChangeRequest { base: 1, ..good.clone() },
        write("/two/value", Some(value(1))),
        write("/one/../two/value", Some(value(1))),
        request("c1", "ana", 0, &[("/one/value", None)]),
    ];
    let mut answers = String::new();
    for case in &cases {
        let answer = ledger.submit(case, 1).await.expect_err("refused");
        answers += &format!("{answer}\n");
    }
    expect![[r#"
        invalid change id; allowed: 1 to 64 of A-Z a-z 0-9 - _ . starting with none of - _ .
        invalid change id; allowed: 1 to 64 of A-Z a-z 0-9 - _ . starting with none of - _ .
        invalid change id; allowed: 1 to 64 of A-Z a-z 0-9 - _ . starting with none of - _ .
        invalid change id; allowed: 1 to 64 of A-Z a-z 0-9 - _ . starting with none of - _ .
        invalid author; allowed: 1 to 200 bytes without control characters
        invalid revision; allowed: 1 to 200 bytes without control characters
        the change writes nothing
        the change has 1001 writes; at most 1000 are allowed
        the record of the change has 64957 bytes; at most 49152 are allowed
        base 1 is newer than the newest version 0
        path /two/value is outside the subtree of team one
        path `/one/../two/value` has the bad segment `..`; allowed: a-z 0-9 - _ .
        path /one/value holds no setting to withdraw
    "#]]
    .assert_eq(&answers);
    assert_eq!(store.take_counts().1, 0, "nothing was written");
}

/// The subtree of a team grows with each change. The platform would reject a value that is too
/// large only after the operator has waited, so the ledger rejects it first and reports its size.
#[tokio::test]
async fn large_subtree() {
    let ledger = quick_ledger(&FaultStore::new(&Arc::default()));
    let text = "x".repeat(60_000);
    for number in 1..=16_u64 {
        let (id, path) = (format!("c{number}"), format!("/one/value{number}"));
        let change = request(&id, "ana", number - 1, &[(&path, Some(value(&text)))]);
        ledger.submit(&change, 1).await.expect("accepted");
    }
    let change = request("c17", "ana", 16, &[("/one/value17", Some(value(&text)))]);
    let answer = ledger.submit(&change, 1).await;
    assert!(matches!(answer, Err(SubmitError::TooLarge { size, .. }) if size > 1_000_000));
    assert_eq!(ledger.find_change("c17").await, Ok(None));
}
