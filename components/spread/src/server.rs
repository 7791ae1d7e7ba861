//! What a daemon answers to its peers.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use capnp::Error;
use sk_member::MergeOutcome;

use crate::{
    auth::{Nonce, ProofSide, is_proof, make_nonce, make_proof},
    codec,
    driver::SpreadShared,
    held::OfferOutcome,
    peer_capnp::{gate, peer},
    update::{apply_update, make_update},
};

/// The capability that anyone who connects gets: it gives the peer interface against a proof.
pub(crate) struct GateServer {
    shared: Arc<SpreadShared>,
    // Used once: a proof for it cannot be replayed in the same session either.
    nonce: RefCell<Option<Nonce>>,
}

impl GateServer {
    pub(crate) fn new(shared: Arc<SpreadShared>) -> Self {
        Self { shared, nonce: RefCell::default() }
    }
}

impl gate::Server for GateServer {
    async fn challenge(
        self: Rc<Self>,
        _: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), Error> {
        let nonce = make_nonce();
        self.nonce.replace(Some(nonce));
        results.get().set_nonce(&nonce);
        Ok(())
    }

    async fn enter(
        self: Rc<Self>,
        params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let secret = self.shared.options.secret.as_bytes();
        let callee = self.nonce.take().ok_or_else(|| Error::failed("no challenge".to_owned()))?;
        let caller = params.get_nonce()?;
        if !is_proof(secret, ProofSide::Caller, caller, &callee, params.get_proof()?) {
            log::warn!("spread: refused a peer without the secret.");
            return Err(Error::failed("proof does not match".to_owned()));
        }
        let mut results = results.get();
        results.set_proof(&make_proof(secret, ProofSide::Callee, caller, &callee));
        results.set_peer(capnp_rpc::new_client(PeerServer { shared: self.shared.clone() }));
        Ok(())
    }
}

struct PeerServer {
    shared: Arc<SpreadShared>,
}

impl peer::Server for PeerServer {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        self.shared.merge_records(codec::read_members(params.get_records()?)?);
        let digest = params.get_digest()?;
        if digest.get_version() > self.shared.held.current().version() {
            self.shared.want_fetch(digest.get_proxy()?.to_string()?);
        }
        let view = self.shared.members.view();
        let mut results = results.get();
        self.shared.write_digest(results.reborrow().init_digest());
        let mut records = results.init_records(view.len() as u32);
        for (index, record) in view.values().enumerate() {
            codec::write_member(record, records.reborrow().get(index as u32));
        }
        Ok(())
    }

    async fn push(
        self: Rc<Self>,
        params: peer::PushParams,
        mut results: peer::PushResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let update = codec::read_update(params.get_update()?)?;
        let source = params.get_sender()?.to_string()?;
        let held = &self.shared.held;
        let base = held.base(update.base).unwrap_or_default();
        if update.version > held.current().version() {
            match apply_update(&base, update) {
                Ok(snapshot) => self.shared.offer(snapshot, &source),
                // The base is not held here: the whole is fetched from the sender instead.
                Err(err) => {
                    log::debug!("spread: cannot apply a push from {source}: {err}.");
                    self.shared.want_fetch(source);
                    OfferOutcome::NotNewer
                }
            };
        }
        results.get().set_held(held.current().version());
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: peer::FetchParams,
        mut results: peer::FetchResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let base = self.shared.held.base(params.get_held());
        let hash = params.get_held_hash()?.to_str()?;
        let base = base.filter(|base| base.root.hash() == hash).unwrap_or_default();
        let update = make_update(&base, &self.shared.held.current());
        codec::write_update(&update, results.get().init_update())
    }

    async fn acknowledge(
        self: Rc<Self>,
        params: peer::AcknowledgeParams,
        _: peer::AcknowledgeResults,
    ) -> Result<(), Error> {
        let acks: Result<_, _> = params.get()?.get_acks()?.iter().map(codec::read_ack).collect();
        self.shared.acks.note(acks?);
        Ok(())
    }
}

impl SpreadShared {
    pub(crate) fn merge_records(&self, records: Vec<sk_member::MemberRecord>) {
        let merge = |table: &mut sk_member::MemberTable| {
            let outcomes = records.into_iter().map(|record| table.merge(record));
            outcomes.filter(|outcome| is_change(*outcome)).count()
        };
        self.members.update(merge, |changed| *changed > 0);
    }
}

fn is_change(outcome: MergeOutcome) -> bool {
    matches!(outcome, MergeOutcome::Newer | MergeOutcome::Refuted)
}
