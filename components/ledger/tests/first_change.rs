//! One change without faults: accepted, looked up, loaded and awaited.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sk_ledger::{Ledger, LedgerSettings};
use sk_model::{ChangeRequest, ConfigSnapshot, ServiceSetting, SettingBody};
use sk_store::FakeStore;

#[tokio::test]
async fn accept_and_read() {
    let ledger = Ledger::new(Arc::new(FakeStore::new()), LedgerSettings::default());
    let empty = ledger.load(&ConfigSnapshot::default()).await.expect("an empty ledger");
    assert_eq!(empty, ConfigSnapshot::default());
    let service = SettingBody::Service(ServiceSetting::default());
    let request = ChangeRequest {
        change_id: "c1".to_owned(),
        team: "ledvica".to_owned(),
        author: "ana".to_owned(),
        revision: "r1".to_owned(),
        base: 0,
        writes: BTreeMap::from([("/ledvica/board".to_owned(), Some(service))]),
    };
    let record = ledger.submit(&request, 5).await.expect("accepted");
    assert_eq!(record.version, 1);
    assert_eq!(ledger.submit(&request, 6).await, Ok(record.clone()));
    assert_eq!(ledger.find_change("c1").await, Ok(Some(record.clone())));
    assert_eq!(ledger.find_change("c2").await, Ok(None));
    assert_eq!(ledger.history(0, 10).await, Ok(vec![record]));
    let newer = ledger.wait_newer(&empty, Duration::from_secs(1)).await;
    let newer = newer.expect("up").expect("newer");
    assert!(newer.is_intact());
    assert_eq!(newer.version(), 1);
    assert_eq!(ledger.wait_newer(&newer, Duration::from_millis(5)).await, Ok(None));
}
