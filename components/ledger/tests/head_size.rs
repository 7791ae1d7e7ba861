//! The largest size of the head.

use sk_ledger::{
    LedgerEntry, LedgerHead, LedgerSettings, MAX_CHANGE_ID_BYTES, MAX_RECORD_BYTES, MAX_TEAMS,
};
use sk_model::{ChangeRecord, MAX_PATH_BYTES, TreeRef, content_hash};
use sk_store::MAX_VALUE_BYTES;

/// Commits 300 changes of the first team and returns the size of the largest head in bytes.
fn largest_head(teams: usize, team_bytes: usize, paths: usize) -> usize {
    let settings = LedgerSettings::default();
    let name = |number| format!("{number:0>team_bytes$}");
    let tree_ref = TreeRef { hash: content_hash(b""), version: 1_000_000 };
    let mut head = LedgerHead::default();
    head.root.trees = (0..teams).map(|number| (name(number), tree_ref.clone())).collect();
    let mut largest = 0;
    for _ in 0..300 {
        let team = name(0);
        let path_bytes = (team.len() + 40).min(MAX_PATH_BYTES);
        let path =
            |number| format!("/{team}/{number:0>width$}", width = path_bytes - 2 - team.len());
        let record = ChangeRecord {
            version: head.root.version + 1,
            change_id: "c".repeat(MAX_CHANGE_ID_BYTES),
            team: team.clone(),
            author: "someone@restlwerk.example".to_owned(),
            revision: "0123456789abcdef0123456789abcdef01234567".to_owned(),
            accepted_at: 1_800_000_000_000,
            written: (0..paths).map(path).collect(),
            withdrawn: Vec::new(),
        };
        assert!(serde_json::to_string(&record).expect("JSON").len() <= MAX_RECORD_BYTES);
        let moved_count = head.overflow(&settings).len();
        let entry = LedgerEntry { record, digest: content_hash(b"") };
        head = head.after_commit(content_hash(b""), entry, moved_count);
        head.check().expect("a tail without a gap");
        largest = largest.max(serde_json::to_string(&head).expect("JSON").len());
    }
    largest
}

#[test]
fn usual_fleet() {
    let (today, later) = (largest_head(69, 12, 4), largest_head(200, 12, 4));
    println!("head: {today} bytes at 69 teams, {later} bytes at 200 teams");
    assert!(later < MAX_VALUE_BYTES / 5, "{later}");
}

/// Every team has the longest name, and every change writes as many paths as a record may hold. A
/// head larger than a platform value could not be replaced, so that no change would be possible
/// any more.
#[test]
fn largest_records() {
    let worst = largest_head(MAX_TEAMS, MAX_PATH_BYTES - 5, 236);
    println!("head: {worst} bytes at {MAX_TEAMS} teams with the longest names and records");
    assert!(worst < MAX_VALUE_BYTES, "{worst}");
}
