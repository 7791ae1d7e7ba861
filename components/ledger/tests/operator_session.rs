//! One session of two operators and the answers they get.

mod common;

use std::{sync::Arc, time::Duration};

use common::{quick_ledger, request, route, service};
use expect_test::expect;
use sk_ledger::{Ledger, SubmitError};
use sk_model::{ChangeRecord, ChangeRequest, ConfigSnapshot};
use sk_store::{CallFault, FaultStore};

fn show_record(record: &ChangeRecord) -> String {
    serde_json::to_string(record).expect("JSON")
}

async fn submit(ledger: &Ledger, now: u64, change: &ChangeRequest) -> String {
    let id = &change.change_id;
    let answer = match ledger.submit(change, now).await {
        Ok(record) => format!("accepted {}", show_record(&record)),
        Err(SubmitError::Conflict { conflicting }) => {
            let records: Vec<_> = conflicting.iter().map(show_record).collect();
            format!("raced with {}", records.join(", "))
        }
        Err(SubmitError::Invalid { faults }) => format!("invalid: {}", faults[0]),
        Err(err) => format!("{err}"),
    };
    format!("{id} by {}: {answer}\n", change.author)
}

#[tokio::test]
async fn two_operators() {
    let store = FaultStore::new(&Arc::default());
    let (ana, bor) = (quick_ledger(&store), quick_ledger(&FaultStore::new(&store.inner)));
    let board = ("/ledvica/board", Some(service()));
    let queue = ("/ledvica/queue", Some(route("/queue", "/ledvica/board")));
    let offers = ("/restlwerk/offers", Some(route("/offers", "/ledvica/board")));
    let mut log = String::new();
    log += &submit(&ana, 1, &request("a1", "ana", 0, std::slice::from_ref(&queue))).await;
    log += &submit(&ana, 2, &request("a2", "ana", 0, &[board, queue.clone()])).await;
    log += &submit(&bor, 3, &request("b1", "bor", 0, &[offers])).await;
    let withdrawal = request("b2", "bor", 1, &[("/ledvica/board", None)]);
    log += &submit(&bor, 4, &withdrawal).await;
    let withdrawal = request("b3", "bor", 1, &[("/ledvica/queue", None)]);
    log += &submit(&bor, 5, &withdrawal).await;
    let slower = request("a3", "ana", 1, std::slice::from_ref(&queue));
    log += &submit(&ana, 6, &slower).await;
    let newer = ChangeRequest { change_id: "a4".to_owned(), base: 3, ..slower };
    store.plan_faults(&[CallFault::Outage]);
    log += &submit(&ana, 7, &newer).await;
    store.plan_faults(&[]);
    log += &submit(&ana, 8, &newer).await;
    log += &submit(&bor, 9, &newer).await;
    let known = bor.load(&ConfigSnapshot::default()).await.expect("up");
    for (path, body) in known.settings() {
        log += &format!("{path} = {}\n", serde_json::to_string(body).expect("JSON"));
    }
    let waited = bor.wait_newer(&known, Duration::from_millis(1)).await;
    log += &format!("newer than {}: {waited:?}\n", known.version());
    let history = bor.history(1, 9).await.expect("up");
    log += &format!("history: {:?}\n", history.iter().map(|r| &r.change_id).collect::<Vec<_>>());
    expect![[r#"
        a1 by ana: invalid: route /ledvica/queue names the service /ledvica/board, which does not exist
        a2 by ana: accepted {"version":1,"change_id":"a2","team":"ledvica","author":"ana","revision":"main","accepted_at":2,"written":["/ledvica/board","/ledvica/queue"],"withdrawn":[]}
        b1 by bor: accepted {"version":2,"change_id":"b1","team":"restlwerk","author":"bor","revision":"main","accepted_at":3,"written":["/restlwerk/offers"],"withdrawn":[]}
        b2 by bor: invalid: route /ledvica/queue names the service /ledvica/board, which does not exist
        b3 by bor: accepted {"version":3,"change_id":"b3","team":"ledvica","author":"bor","revision":"main","accepted_at":5,"written":[],"withdrawn":["/ledvica/queue"]}
        a3 by ana: raced with {"version":3,"change_id":"b3","team":"ledvica","author":"bor","revision":"main","accepted_at":5,"written":[],"withdrawn":["/ledvica/queue"]}
        a4 by ana: change not accepted; retry in 1000ms
        a4 by ana: accepted {"version":4,"change_id":"a4","team":"ledvica","author":"ana","revision":"main","accepted_at":8,"written":["/ledvica/queue"],"withdrawn":[]}
        a4 by ana: accepted {"version":4,"change_id":"a4","team":"ledvica","author":"ana","revision":"main","accepted_at":8,"written":["/ledvica/queue"],"withdrawn":[]}
        /ledvica/board = {"kind":"service","description":""}
        /ledvica/queue = {"kind":"route","prefix":"/queue","service":"/ledvica/board","repeatable":false,"class":"short","deadline_ms":10000}
        /restlwerk/offers = {"kind":"route","prefix":"/offers","service":"/ledvica/board","repeatable":false,"class":"short","deadline_ms":10000}
        newer than 4: Ok(None)
        history: ["a2", "b1", "b3", "a4"]
    "#]].assert_eq(&log);
}
