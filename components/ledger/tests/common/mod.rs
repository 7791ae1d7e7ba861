//! Helpers that create requests and ledgers.
#![allow(dead_code)] // Each test file uses its own part.

use std::{sync::Arc, time::Duration};

use sk_ledger::{Ledger, LedgerSettings};
use sk_model::{ChangeRequest, SettingBody, Version, parse_declaration};
use sk_store::{FaultStore, ObjectStore};

/// Creates a ledger with a short tail, so that history is used, and without delays.
pub fn quick_ledger(store: &Arc<FaultStore>) -> Arc<Ledger> {
    let settings = LedgerSettings {
        tail_records: 8,
        submit_tries: 12,
        backoff_base: Duration::ZERO,
        ..LedgerSettings::default()
    };
    Arc::new(Ledger::new(Arc::clone(store) as Arc<dyn ObjectStore>, settings))
}

pub fn setting(text: &str) -> SettingBody {
    parse_declaration(text).expect("a good declaration")
}

pub fn route(prefix: &str, service: &str) -> SettingBody {
    setting(&format!("kind = \"route\"\nprefix = \"{prefix}\"\nservice = \"{service}\""))
}

pub fn service() -> SettingBody {
    setting("kind = \"service\"")
}

pub fn value(text: impl ToString) -> SettingBody {
    setting(&format!("kind = \"value\"\ntext = \"{}\"", text.to_string()))
}

/// Creates a request; its team is that of the first path.
pub fn request(
    change_id: &str,
    author: &str,
    base: Version,
    writes: &[(&str, Option<SettingBody>)],
) -> ChangeRequest {
    ChangeRequest {
        change_id: change_id.to_owned(),
        team: sk_model::team_of(writes[0].0).to_owned(),
        author: author.to_owned(),
        revision: "main".to_owned(),
        base,
        writes: writes.iter().map(|(path, body)| ((*path).to_owned(), body.clone())).collect(),
    }
}
