//! Reports contain only versions that the proxies themselves have acknowledged.

use std::{collections::BTreeMap, sync::Arc};

use proptest::prelude::*;
use sk_model::{ChangeRecord, ProxyAck, RejectedVersion};
use sk_report::{
    AckBuffer, FleetReport, KnownProxy, ProxyState, make_change_report, make_fleet_report,
    read_acks, read_in_force_times,
};
use sk_store::{FakeStore, SharedStore, WriteFault};

const PREFIX: &str = "test/";

fn ack(proxy: &str, incarnation: u64, version: u64) -> ProxyAck {
    ProxyAck {
        proxy: proxy.to_owned(),
        incarnation,
        data_centre: "lj1".to_owned(),
        version,
        since: 1_000 + version,
        source: "platform".to_owned(),
        rejected: None,
    }
}

fn change(version: u64) -> ChangeRecord {
    ChangeRecord {
        version,
        change_id: format!("c{version}"),
        team: "ledvica".to_owned(),
        author: "ana".to_owned(),
        revision: "4f2a".to_owned(),
        accepted_at: 1_000,
        written: vec!["/ledvica/a".to_owned()],
        withdrawn: Vec::new(),
    }
}

fn known(incarnation: u64, unreachable_since: Option<u64>) -> KnownProxy {
    KnownProxy { data_centre: "lj1".to_owned(), incarnation, unreachable_since }
}

fn state_of(known_proxy: KnownProxy, ack: Option<ProxyAck>) -> ProxyState {
    let known = BTreeMap::from([("a".to_owned(), known_proxy)]);
    let acks = ack.map(|ack| (ack.proxy.clone(), ack)).into_iter().collect();
    let report = make_fleet_report(Some(change(2)), &known, &acks);
    report.proxies[0].state.clone()
}

// A daemon with the newest version is replaced by a new process, which has no version yet. A naive
// report by name would still say "in force".
#[test]
fn new_process() {
    assert_eq!(state_of(known(1, None), Some(ack("a", 1, 2))), ProxyState::InForce);
    assert_eq!(state_of(known(2, None), Some(ack("a", 1, 2))), ProxyState::Pending);
}

// A daemon is cut off. Its current version is unknown, although its last acknowledgement was of
// the newest one.
#[test]
fn silent_proxy() {
    let state = state_of(known(1, Some(77)), Some(ack("a", 1, 2)));
    assert_eq!(state, ProxyState::Unreachable { unreachable_since: 77 });
    assert_eq!(state_of(known(1, None), None), ProxyState::Pending);
}

// A manager requests a report while a proxy is cut off. Two fields with the same name in the
// answer made the command line reject the whole report just when it was needed.
#[test]
fn every_state_decodes() {
    let known = [("a", known(1, None)), ("b", known(1, Some(77))), ("c", known(1, None))];
    let known = known.map(|(proxy, known)| (proxy.to_owned(), known)).into();
    let rejected = Some(RejectedVersion { version: 2, reason: "bad".to_owned() });
    let acks = [ack("a", 1, 2), ProxyAck { rejected, ..ack("c", 1, 1) }, ack("d", 1, 1)];
    let acks = acks.map(|ack| (ack.proxy.clone(), ack)).into();
    let report = make_fleet_report(Some(change(2)), &known, &acks);
    let text = serde_json::to_string(&report).expect("a report encodes");
    assert_eq!(serde_json::from_str::<FleetReport>(&text).expect("it reads"), report);
}

#[test]
fn rejected_version() {
    let rejected = Some(RejectedVersion { version: 2, reason: "bad".to_owned() });
    let ack = ProxyAck { rejected, ..ack("a", 1, 1) };
    let state = state_of(known(1, None), Some(ack));
    assert_eq!(state, ProxyState::Rejected { reason: "bad".to_owned() });
}

// Every daemon is lost and replaced by others. The managers still see which proxy had which
// version.
#[tokio::test]
async fn departed_reported() {
    let store: SharedStore = Arc::new(FakeStore::new());
    let buffer = AckBuffer::new(PREFIX);
    buffer.add(vec![ack("a", 1, 2), ack("b", 1, 1)]);
    buffer.flush(&store).await.expect("platform is up");
    drop(buffer);
    let acks = read_acks(&store, PREFIX).await.expect("platform is up");
    let report = make_fleet_report(Some(change(2)), &BTreeMap::new(), &acks);
    assert_eq!((report.in_force, report.total, report.departed.len()), (0, 0, 2));
    assert!(report.departed.iter().all(|proxy| proxy.state == ProxyState::Unknown));
    let times = read_in_force_times(&store, PREFIX, 2).await.expect("platform is up");
    let report = make_change_report(change(2), &times, &BTreeMap::new(), &acks);
    assert_eq!(report.delays.map(|delays| delays.max_ms), Some(2));
}

// The platform is unavailable while acknowledgements arrive. They are stored once it is available
// again; if they were dropped, proxies that have the version would be reported as pending for
// ever.
#[tokio::test]
async fn acks_kept_in_outage() {
    let fake = Arc::new(FakeStore::new());
    let store: SharedStore = fake.clone();
    let buffer = AckBuffer::new(PREFIX);
    buffer.add(vec![ack("a", 1, 2)]);
    fake.set_outage(true);
    assert!(buffer.flush(&store).await.is_err());
    fake.set_outage(false);
    buffer.flush(&store).await.expect("platform is up");
    let acks = read_acks(&store, PREFIX).await.expect("platform is up");
    assert_eq!(acks["a"].version, 2);
}

fn any_acks() -> impl Strategy<Value = Vec<ProxyAck>> {
    let one = ("[abc]", 1..4_u64, 0..6_u64)
        .prop_map(|(proxy, incarnation, version)| ack(&proxy, incarnation, version));
    prop::collection::vec(one, 0..24)
}

proptest! {
    // Two relays gather overlapping acknowledgements in different orders, while answers of the
    // platform are lost. The report equals that of one relay that received everything in order.
    #[test]
    fn two_relays(acks in any_acks(), split in prop::collection::vec(0..3_u8, 24), lost in 0..3_u8) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("runtime");
        runtime.block_on(async {
            let fake = Arc::new(FakeStore::new());
            let store: SharedStore = fake.clone();
            let buffers = [AckBuffer::new(PREFIX), AckBuffer::new(PREFIX)];
            (0..lost).for_each(|_| fake.plan_write_fault(WriteFault::LoseAnswer));
            for (ack, side) in acks.iter().zip(&split).rev() {
                if *side != 1 { buffers[0].add(vec![ack.clone()]); }
                if *side != 0 { buffers[1].add(vec![ack.clone()]); }
            }
            for buffer in [&buffers[1], &buffers[0], &buffers[1]] {
                buffer.flush(&store).await.expect("platform is up");
            }
            let mut naive: BTreeMap<String, ProxyAck> = BTreeMap::new();
            for ack in &acks {
                let newest = naive.entry(ack.proxy.clone()).or_insert_with(|| ack.clone());
                if (ack.incarnation, ack.version) > (newest.incarnation, newest.version) {
                    *newest = ack.clone();
                }
            }
            let kept = read_acks(&store, PREFIX).await.expect("platform is up");
            assert_eq!(kept, naive);
        });
    }
}
