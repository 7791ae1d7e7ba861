//! A naive ledger, which retries without checking the outcome, and a naive model, in which nothing
//! fails.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_trait::async_trait;
use sk_ledger::{
    Ledger, LedgerEntry, LedgerHead, MalformedChange, SubmitError, record_of, request_digest,
};
use sk_model::{
    ChangeRecord, ChangeRequest, ConfigSnapshot, TeamName, TeamTree, Version, validate_trees,
};
use sk_store::{ObjectStore, StoreError};

use sk_store::FaultStore;

use crate::common::quick_ledger;

const HEAD: &str = "sapphirekeel/head";

type Trees = BTreeMap<TeamName, Arc<TeamTree>>;
pub type Answer = Result<ChangeRecord, SubmitError>;

/// An implementation that accepts the changes of operators.
#[async_trait]
pub trait Acceptor: Send + Sync {
    async fn accept(&self, request: &ChangeRequest) -> Answer;
}

#[async_trait]
impl Acceptor for Ledger {
    async fn accept(&self, request: &ChangeRequest) -> Answer {
        self.submit(request, 7).await
    }
}

/// A ledger that is correct only while nobody else writes and no answer is lost.
pub struct NaiveLedger {
    pub store: Arc<FaultStore>,
    /// Whether the head is put under a condition, which leaves the unchecked retry as the only
    /// fault.
    pub is_conditional: bool,
}

#[async_trait]
impl Acceptor for NaiveLedger {
    async fn accept(&self, request: &ChangeRequest) -> Answer {
        for number in 0..12 {
            match self.put_next(request, number == 0).await {
                Err(StoreError::Unknown { .. } | StoreError::Conflict { .. }) => {}
                Ok(answer) => return answer,
                Err(_) => break,
            }
        }
        Err(SubmitError::NotAccepted { retry_after: Duration::ZERO })
    }
}

impl NaiveLedger {
    async fn put_next(
        &self,
        request: &ChangeRequest,
        is_first: bool,
    ) -> Result<Answer, StoreError> {
        let object = self.store.get(HEAD).await?;
        let revision = object.as_ref().map(|object| object.revision);
        let head = object.map(|object| serde_json::from_str(&object.value).expect("a head"));
        let head: LedgerHead = head.unwrap_or_default();
        let digest = request_digest(request);
        match head.find(&request.change_id).filter(|_| is_first) {
            _ if is_foreign(request) => return Ok(Err(MalformedChange::Empty.into())),
            Some(entry) if entry.digest == digest => return Ok(Ok(entry.record.clone())),
            Some(entry) => {
                let record = Box::new(entry.record.clone());
                return Ok(Err(SubmitError::IdReused { record }));
            }
            None if head.team_version(&request.team) > request.base => {
                return Ok(Err(SubmitError::Conflict { conflicting: Vec::new() }));
            }
            None => {}
        }
        let reader = quick_ledger(&FaultStore::new(&self.store.inner));
        let mut trees = reader.load(&ConfigSnapshot::default()).await.expect("a snapshot").trees;
        if is_missing(&trees, request) {
            return Ok(Err(MalformedChange::Empty.into()));
        }
        if !apply(&mut trees, request) {
            return Ok(Err(SubmitError::Invalid { faults: Vec::new() }));
        }
        let tree = &trees[&request.team];
        let key = format!("sapphirekeel/trees/{}", tree.hash());
        let _ = self.store.inner.create(&key, serde_json::to_string(tree).expect("JSON")).await;
        let record = record_of(request, head.root.version + 1, 7);
        let next =
            head.after_commit(tree.hash(), LedgerEntry { record: record.clone(), digest }, 0);
        let next = serde_json::to_string(&next).expect("JSON");
        match revision {
            _ if !self.is_conditional => self.store.put_unconditionally(HEAD, next).await?,
            Some(revision) => self.store.replace(HEAD, revision, next).await?,
            None => self.store.create(HEAD, next).await?,
        };
        Ok(Ok(record))
    }
}

/// All accepted requests in order, and the configuration they result in, in memory.
#[derive(Default)]
pub struct NaiveModel {
    pub accepted: Vec<ChangeRequest>,
    pub trees: Trees,
}

impl NaiveModel {
    pub fn team_version(&self, team: &str) -> Version {
        let newest = self.accepted.iter().rposition(|request| request.team == team);
        newest.map_or(0, |index| index as Version + 1)
    }

    pub fn version_of(&self, request: &ChangeRequest) -> Option<Version> {
        let index = self.accepted.iter().position(|accepted| accepted == request);
        index.map(|index| index as Version + 1)
    }

    /// Returns the label of the answer that a submit has to get if nothing fails.
    pub fn expected_label(&self, request: &ChangeRequest) -> String {
        let mut ids = self.accepted.iter().map(|accepted| &accepted.change_id);
        match self.version_of(request) {
            _ if is_foreign(request) => "malformed".to_owned(),
            Some(version) => format!("accepted {version}"),
            None if ids.any(|id| *id == request.change_id) => "reused".to_owned(),
            None if self.team_version(&request.team) > request.base => "raced".to_owned(),
            None if is_missing(&self.trees, request) => "malformed".to_owned(),
            None if !apply(&mut self.trees.clone(), request) => "invalid".to_owned(),
            None => format!("accepted {}", self.accepted.len() + 1),
        }
    }

    /// Applies one record of the history, and checks all properties that it must not violate.
    pub fn apply_record(
        &mut self,
        record: &ChangeRecord,
        requests: &[ChangeRequest],
    ) -> Result<(), String> {
        let version = self.accepted.len() as Version + 1;
        let mut sources = requests.iter().filter(|request| request.author == record.author);
        let request = sources.next().ok_or("a record that nobody requested")?;
        let expected_label = self.expected_label(request);
        if expected_label != format!("accepted {version}")
            || *record != record_of(request, version, 7)
        {
            return Err(format!("history has {record:?} but the model expects {expected_label}"));
        }
        apply(&mut self.trees, request);
        self.accepted.push(request.clone());
        Ok(())
    }
}

/// Returns the label of an answer.
pub fn label(answer: &Answer) -> String {
    match answer {
        Ok(record) => format!("accepted {}", record.version),
        Err(SubmitError::Conflict { .. }) => "raced".to_owned(),
        Err(SubmitError::Invalid { .. }) => "invalid".to_owned(),
        Err(SubmitError::Malformed(_)) => "malformed".to_owned(),
        Err(SubmitError::IdReused { .. }) => "reused".to_owned(),
        Err(SubmitError::NotAccepted { .. }) => "not-accepted".to_owned(),
        Err(SubmitError::Unknown { .. }) => "unknown".to_owned(),
        Err(err) => format!("{err:?}"),
    }
}

fn is_foreign(request: &ChangeRequest) -> bool {
    request.writes.keys().any(|path| !path.starts_with(&format!("/{}/", request.team)))
}

fn is_missing(trees: &Trees, request: &ChangeRequest) -> bool {
    let tree = trees.get(&request.team);
    let has_setting = |path: &String| tree.is_some_and(|tree| tree.settings.contains_key(path));
    request.writes.iter().any(|(path, body)| body.is_none() && !has_setting(path))
}

/// Applies a change and returns whether the resulting configuration is valid.
fn apply(trees: &mut Trees, request: &ChangeRequest) -> bool {
    let tree = trees.entry(request.team.clone()).or_default();
    *tree = Arc::new(tree.with_writes(&request.writes));
    validate_trees(trees).is_empty()
}
