//! Exchange of rumors between daemons: changed member records, and observers' suspicions of failed
//! members.

use std::{collections::BTreeSet, rc::Rc, sync::Arc};

use capnp::Error;
use sk_member::{
    MemberDigest, MemberRecord, MemberRumor, MemberSuspicion, MemberTable, MergeOutcome,
};
use sk_model::ProxyId;
use tokio::time::Instant;

use crate::{codec, node::SpreadNode, peer_capnp::peer, state::CallKind};

impl SpreadNode {
    /// Merges rumors from a peer and queues the new ones for the other links.
    pub(crate) fn merge_rumors(
        &self,
        records: Vec<MemberRecord>,
        suspicions: Vec<MemberSuspicion>,
        from: &ProxyId,
    ) {
        for record in self.merge_records(records) {
            self.links.borrow_mut().push(&MemberRumor::Record(record), Some(from));
        }
        for suspicion in suspicions {
            let is_about_own = suspicion.proxy == self.own_name;
            if is_about_own {
                self.members.update(|table| table.refute(&suspicion), |is_refuted| *is_refuted);
            }
            self.links.borrow_mut().record_suspicion(suspicion, from);
        }
    }

    /// Merges records and returns those that were new. If the own record was raised to refute one
    /// of them, `send_own_record` sends it.
    fn merge_records(&self, records: Vec<MemberRecord>) -> Vec<Arc<MemberRecord>> {
        let own = &self.own_name;
        let merge = |table: &mut MemberTable| {
            let mut newer = Vec::new();
            let mut is_refuted = false;
            for record in records {
                let proxy = record.proxy.clone();
                log_change(table.records().get(&proxy).map(|known| &**known), &record);
                match table.merge(record) {
                    MergeOutcome::Newer if proxy != *own => {
                        newer.extend(table.records().get(&proxy).cloned());
                    }
                    MergeOutcome::Refuted => is_refuted = true,
                    _ => (),
                }
            }
            (newer, is_refuted)
        };
        self.members.update(merge, |(newer, is_refuted)| !newer.is_empty() || *is_refuted).0
    }

    /// Compares record digests with a peer over an open connection, and exchanges the records that
    /// differ in both directions.
    pub(crate) async fn reconcile(
        self: &Rc<Self>,
        proxy: &ProxyId,
        peer: peer::Client,
    ) -> Result<(), Error> {
        let digest = self.members.update(|table| table.digest().clone(), |_| false);
        let mut request = peer.reconcile_request();
        let buckets = digest.buckets();
        codec::write_buckets(buckets, request.get().init_buckets(buckets.len() as u32));
        self.write_beat(request.get().init_beat());
        let sent_at = Instant::now();
        self.stats.sent(CallKind::Reconcile, request.get().into_reader().total_size()?);
        let response = request.send().promise.await?;
        let response = response.get()?;
        self.stats.received(CallKind::Reconcile, response.total_size()?);
        let peer_digest = codec::read_buckets(response.get_buckets()?)?;
        let peer_digest = MemberDigest::from_buckets(peer_digest);
        let received = codec::read_members(response.get_records()?)?;
        let received_ranks: BTreeSet<_> =
            received.iter().map(|record| (record.proxy.clone(), record.rank())).collect();
        self.merge_rumors(received, Vec::new(), proxy);
        self.handle_beat(proxy, response.get_beat()?, sent_at);
        let differing = digest.differing_buckets(&peer_digest);
        let mut missing_there =
            self.members.update(|table| table.records_in(&differing), |_| false);
        missing_there
            .retain(|record| !received_ranks.contains(&(record.proxy.clone(), record.rank())));
        if missing_there.is_empty() {
            return Ok(());
        }
        let rumors = missing_there.into_iter().map(MemberRumor::Record).collect();
        self.send_rumors(peer, rumors).await
    }

    /// Sends records and suspicions in one message.
    pub(crate) async fn send_rumors(
        &self,
        peer: peer::Client,
        rumors: Vec<MemberRumor>,
    ) -> Result<(), Error> {
        let mut records = Vec::new();
        let mut suspicions = Vec::new();
        for rumor in &rumors {
            match rumor {
                MemberRumor::Record(record) => records.push(&**record),
                MemberRumor::Suspicion(suspicion) => suspicions.push(suspicion),
            }
        }
        let mut request = peer.rumor_request();
        let builder = request.get().init_records(records.len() as u32);
        codec::write_members(records.into_iter(), builder);
        codec::write_suspicions(
            &suspicions,
            request.get().init_suspicions(suspicions.len() as u32),
        );
        self.stats.sent(CallKind::Rumor, request.get().into_reader().total_size()?);
        request.send().promise.await.map(drop)
    }
}

/// Logs when a daemon joins, restarts, or changes its status or backend servers.
fn log_change(known: Option<&MemberRecord>, record: &MemberRecord) {
    let is_newer = known.is_none_or(|known| record.rank() > known.rank());
    let is_same = known.is_some_and(|known| {
        (known.status, known.incarnation) == (record.status, record.incarnation)
            && known.endpoints == record.endpoints
    });
    if !is_newer || is_same {
        return;
    }
    let servers: Vec<String> = record
        .endpoints
        .iter()
        .map(|endpoint| format!("{} {} {}", endpoint.service, endpoint.server, endpoint.status))
        .collect();
    log::info!(
        status:% = record.status,
        incarnation = record.incarnation,
        sequence = record.sequence,
        servers = servers.join("; ").as_str();
        "spread: {} joined, restarted, or changed its status or servers.", record.proxy
    );
}

/// Queues the own record for every link as soon as it changes.
pub(crate) async fn send_own_record(node: &Rc<SpreadNode>) {
    let mut snapshots = node.members.subscribe();
    let mut last_sent = node.members.own();
    loop {
        let own = node.members.own();
        if !Arc::ptr_eq(&own, &last_sent) {
            last_sent = own.clone();
            node.links.borrow_mut().push(&MemberRumor::Record(own), None);
        }
        if snapshots.changed().await.is_err() {
            return;
        }
    }
}
