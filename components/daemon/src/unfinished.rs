//! What an earlier process of this daemon has sent to the local backend server. The other daemons
//! know it: those at which the requests entered, and one that keeps the others.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use futures::future::join_all;
use sk_member::{FleetKnowledge, MemberRecord, SharedMembers, rendezvous_weight};
use sk_model::ProxyId;
use sk_proxy::{PeerClient, RunningRequests, UnfinishedRecall};
use tokio::{
    sync::Mutex,
    time::{Instant, timeout, timeout_at},
};

/// Time after the start of the daemon in which others are asked. Longer than most deadlines.
const RECALL_PERIOD: Duration = Duration::from_secs(30);
/// Time for which a call waits for the answers.
const RECALL_TIME: Duration = Duration::from_millis(500);
/// Interval between looks for other daemons while none is known.
const MEMBER_POLL: Duration = Duration::from_millis(20);
/// Interval between deposits.
const DEPOSIT_INTERVAL: Duration = Duration::from_millis(200);
/// Time for one deposit.
const DEPOSIT_TIME: Duration = Duration::from_millis(500);

/// Asks the other daemons, each once.
pub(crate) struct PeerRecall {
    started_at: Instant,
    members: Arc<SharedMembers>,
    peers: PeerClient,
    running: RunningRequests,
    /// Daemons that have answered.
    asked: Mutex<BTreeSet<ProxyId>>,
}

impl PeerRecall {
    /// Creates the recall of a daemon that starts now.
    pub(crate) fn new(
        members: Arc<SharedMembers>,
        peers: PeerClient,
        running: RunningRequests,
    ) -> Self {
        Self { started_at: Instant::now(), members, peers, running, asked: Mutex::default() }
    }

    /// Asks some daemons and returns those that have answered.
    async fn ask(&self, daemons: Vec<Arc<MemberRecord>>, until: Instant) -> Vec<ProxyId> {
        let own = self.members.own().proxy.clone();
        let questions = daemons.into_iter().map(async |daemon| {
            let question = self.peers.ask_unfinished(daemon.guard, &own);
            match timeout_at(until, question).await {
                Ok(Ok(requests)) => {
                    self.running.restore(&requests);
                    Some(daemon.proxy.clone())
                }
                Ok(Err(err)) => {
                    log::info!("daemon: {} was asked for requests: {err}.", daemon.proxy);
                    None
                }
                Err(_) => None,
            }
        });
        join_all(questions).await.into_iter().flatten().collect()
    }
}

#[async_trait]
impl UnfinishedRecall for PeerRecall {
    async fn recall(&self) {
        let until = Instant::now() + RECALL_TIME;
        if self.started_at.elapsed() > RECALL_PERIOD {
            return;
        }
        // Calls that arrive at the same time wait for one round of questions.
        let Ok(mut asked) = timeout_at(until, self.asked.lock()).await else { return };
        loop {
            let others = other_daemons(&self.members);
            let has_others = !others.is_empty();
            let due: Vec<_> =
                others.into_iter().filter(|other| !asked.contains(&other.proxy)).collect();
            match due.is_empty() {
                true if has_others || Instant::now() >= until => return,
                true => tokio::time::sleep(MEMBER_POLL).await,
                false => return asked.extend(self.ask(due, until).await),
            }
        }
    }
}

/// Has another daemon keep the requests that no other one knows.
pub(crate) struct DepositSender {
    members: Arc<SharedMembers>,
    peers: PeerClient,
    running: RunningRequests,
    /// The daemon that has got the last deposit, and the fleet that it was chosen from.
    keeper: Mutex<Option<(Arc<FleetKnowledge>, Keeper)>>,
}

/// Name and guard of a daemon that keeps requests of another one.
type Keeper = (ProxyId, SocketAddr);

impl DepositSender {
    /// Creates the sender of a daemon.
    pub(crate) fn new(
        members: Arc<SharedMembers>,
        peers: PeerClient,
        running: RunningRequests,
    ) -> Self {
        Self { members, peers, running, keeper: Mutex::default() }
    }

    /// Sends deposits until it is dropped.
    pub(crate) async fn run(&self) {
        loop {
            tokio::time::sleep(DEPOSIT_INTERVAL).await;
            self.send().await;
        }
    }

    /// Sends what is due, and to a daemon that keeps nothing yet all that no other one knows.
    pub(crate) async fn send(&self) {
        let mut keeper = self.keeper.lock().await;
        let mut requests = self.running.take_deposit();
        if requests.is_empty() {
            return;
        }
        let fleet = self.members.fleet();
        let (name, guard) = match &*keeper {
            Some((of, keeper)) if Arc::ptr_eq(of, &fleet) => keeper.clone(),
            before => {
                let Some(next) = self.choose_keeper() else {
                    return self.running.reset_deposit();
                };
                if before.as_ref().is_none_or(|(_, before)| *before != next) {
                    self.running.reset_deposit();
                    requests = self.running.take_deposit();
                }
                *keeper = Some((fleet, next.clone()));
                next
            }
        };
        let own = self.members.own().proxy.clone();
        let deposit = self.peers.deposit_unfinished(guard, &own, &requests);
        let sent = timeout(DEPOSIT_TIME, deposit).await;
        if !matches!(sent, Ok(Ok(()))) {
            log::debug!("daemon: {name} has not kept {} requests: {sent:?}.", requests.len());
            self.running.reset_deposit();
        }
    }

    /// Returns the daemon that keeps requests of this one, one of its data centre if there is any.
    fn choose_keeper(&self) -> Option<Keeper> {
        let own = self.members.own();
        let rank = |other: &Arc<MemberRecord>| {
            let is_near = other.data_centre == own.data_centre;
            (is_near, rendezvous_weight(&format!("unfinished of {}", own.proxy), &other.proxy))
        };
        let keeper = other_daemons(&self.members).into_iter().max_by_key(rank)?;
        Some((keeper.proxy.clone(), keeper.guard))
    }
}

/// Returns the other daemons within reach.
fn other_daemons(members: &SharedMembers) -> Vec<Arc<MemberRecord>> {
    let (own, fleet) = (members.own(), members.fleet());
    let snapshot = members.snapshot();
    let others = snapshot.values().filter(|record| record.proxy != own.proxy);
    others.filter(|record| fleet.reaches(&record.proxy)).cloned().collect()
}
