//! A fleet of daemons with limits, in virtual time: the real state of each daemon, with calls that
//! take a round trip and fail where daemons are cut off.

#![allow(dead_code)] // Each test file uses a part of it.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sk_allowance::{
    AllowanceBook, AllowanceDesk, AllowanceRate, AllowanceVerdict, MemberPresence, OwnerCall,
};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until},
};

/// Time of one way between two daemons.
const ONE_WAY: Duration = Duration::from_millis(1);
/// Time after which daemons notice that another one is lost.
const NOTICE_TIME: Duration = Duration::from_millis(1_500);
/// Time without an answer after which a call is given up, as in the control thread.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(5);

/// One workspace of the drawn demand.
#[derive(Clone)]
pub struct Workspace {
    pub name: Arc<str>,
    pub rate: AllowanceRate,
    /// Usual demand in requests a second.
    pub usual: f64,
}

/// Draws `count` workspaces with sizes by a power law with exponent 1.2, limits 1.6 times the usual
/// demand and a burst of two seconds of it.
pub fn power_law(count: usize, total_per_s: f64) -> Vec<Workspace> {
    let weight = |index: usize| 1.0 / ((index + 1) as f64).powf(1.2);
    let sum: f64 = (0..count).map(weight).sum();
    let workspace = |index: usize| {
        let usual = total_per_s * weight(index) / sum;
        let rate = AllowanceRate { rate_per_s: usual * 1.6, burst: (usual * 2.0).ceil().max(4.0) };
        Workspace { name: Arc::from(format!("w{index}")), rate, usual }
    };
    (0..count).map(workspace).collect()
}

struct Daemon {
    name: Arc<str>,
    book: RefCell<Arc<AllowanceBook>>,
    is_running: Cell<bool>,
    /// Whether it has said that it leaves.
    has_left: Cell<bool>,
    side: Cell<u8>,
}

/// A decision on one request.
#[derive(Clone, Copy)]
pub struct Decision {
    pub workspace: usize,
    pub daemon: usize,
    pub at: Duration,
    pub is_granted: bool,
    /// Whether a central bucket would have admitted it.
    pub is_due: bool,
}

/// The fleet and the decisions that it made.
pub struct Fleet {
    daemons: Vec<Rc<Daemon>>,
    pub workspaces: Vec<Workspace>,
    rates: RefCell<HashMap<Arc<str>, AllowanceRate>>,
    central: RefCell<Vec<(f64, Duration)>>,
    pub decisions: RefCell<Vec<Decision>>,
    pub calls: Cell<u64>,
    began: Instant,
}

impl Fleet {
    pub fn start(count: usize, workspaces: Vec<Workspace>) -> Rc<Self> {
        let rates = workspaces.iter().map(|workspace| (workspace.name.clone(), workspace.rate));
        let central = workspaces.iter().map(|workspace| (workspace.rate.burst, Duration::ZERO));
        let daemon = |index| {
            let name: Arc<str> = Arc::from(format!("daemon-{index}"));
            // Replaced by `boot`.
            let book = RefCell::new(Arc::new(AllowanceBook::new(&name).0));
            let (is_running, has_left) = (Cell::new(true), Cell::new(false));
            Rc::new(Daemon { name, book, is_running, has_left, side: Cell::new(0) })
        };
        let fleet = Rc::new(Self {
            daemons: (0..count).map(daemon).collect(),
            rates: RefCell::new(rates.collect()),
            central: RefCell::new(central.collect()),
            workspaces,
            decisions: RefCell::default(),
            calls: Cell::new(0),
            began: Instant::now(),
        });
        (0..count).for_each(|index| fleet.boot(index));
        fleet.update_members();
        fleet
    }

    /// Starts the process of a daemon with empty state.
    fn boot(self: &Rc<Self>, index: usize) {
        let daemon = &self.daemons[index];
        let (book, calls) = AllowanceBook::new(&daemon.name);
        book.set_rates(self.rates.borrow().clone());
        daemon.book.replace(Arc::new(book));
        daemon.is_running.set(true);
        daemon.has_left.set(false);
        tokio::task::spawn_local(run_calls(
            self.clone(),
            index,
            daemon.book.borrow().clone(),
            calls,
        ));
    }

    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    pub fn owner_of(&self, workspace: usize) -> usize {
        let counts = self.daemons[0].book.borrow().counts();
        let owner = counts[&self.workspaces[workspace].name].1.clone().expect("an owner");
        self.daemons.iter().position(|daemon| daemon.name == owner).expect("a daemon")
    }

    pub fn is_running(&self, index: usize) -> bool {
        self.daemons[index].is_running.get()
    }

    /// Cuts daemons off from all others, each on its own.
    pub fn cut(&self, indices: impl Iterator<Item = usize>) {
        indices.enumerate().for_each(|(number, index)| {
            self.daemons[index].side.set(1 + (number % 250) as u8);
        });
    }

    pub fn heal(&self) {
        self.daemons.iter().for_each(|daemon| daemon.side.set(0));
    }

    pub fn kill(&self, indices: impl Iterator<Item = usize>) {
        indices.for_each(|index| self.daemons[index].is_running.set(false));
    }

    /// Stops daemons after they have said that they leave.
    pub fn stop(&self, indices: impl Iterator<Item = usize>) {
        indices.for_each(|index| {
            self.daemons[index].is_running.set(false);
            self.daemons[index].has_left.set(true);
        });
    }

    pub fn restart(self: &Rc<Self>, indices: impl Iterator<Item = usize>) {
        indices.for_each(|index| self.boot(index));
    }

    pub fn set_rate(&self, workspace: usize, rate: AllowanceRate) {
        self.rates.borrow_mut().insert(self.workspaces[workspace].name.clone(), rate);
        for daemon in &self.daemons {
            daemon.book.borrow().set_rates(self.rates.borrow().clone());
        }
        let mut central = self.central.borrow_mut();
        central[workspace].0 = central[workspace].0.min(rate.burst);
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.daemons[from], &self.daemons[to]);
        to.is_running.get() && from.is_running.get() && from.side.get() == to.side.get()
    }

    /// Tells all daemons which members they see now.
    pub fn update_members(&self) {
        for (index, daemon) in self.daemons.iter().enumerate() {
            let presence = |(other, record): (usize, &'_ Rc<Daemon>)| {
                let presence = match index == other || self.can_reach(index, other) {
                    true => MemberPresence::Alive,
                    false if record.has_left.get() => MemberPresence::Left,
                    false => MemberPresence::Lost,
                };
                (record.name.clone(), presence)
            };
            let seen: Vec<_> = self.daemons.iter().enumerate().map(presence).collect();
            let seen = seen.iter().map(|(name, presence)| (&**name, *presence));
            daemon.book.borrow().set_members(seen);
        }
    }

    /// Tells all daemons after the time that they take to notice.
    pub fn notice_later(self: &Rc<Self>) {
        let fleet = self.clone();
        tokio::task::spawn_local(async move {
            sleep(NOTICE_TIME).await;
            fleet.update_members();
        });
    }

    /// Sends one request of a workspace to a daemon.
    pub fn request(self: &Rc<Self>, workspace: usize, index: usize) {
        let (fleet, daemon) = (self.clone(), self.daemons[index].clone());
        if !daemon.is_running.get() {
            return;
        }
        let at = self.began.elapsed();
        let is_due = self.take_central(workspace, at);
        let book = daemon.book.borrow().clone();
        tokio::task::spawn_local(async move {
            let verdict = book.take(&fleet.workspaces[workspace].name).await;
            let at = fleet.began.elapsed();
            let is_granted = verdict == AllowanceVerdict::Granted;
            fleet.decisions.borrow_mut().push(Decision {
                workspace,
                daemon: index,
                at,
                is_granted,
                is_due,
            });
        });
    }

    /// Decides by a token bucket that all daemons share without delay.
    fn take_central(&self, workspace: usize, now: Duration) -> bool {
        let rate = self.rates.borrow()[&self.workspaces[workspace].name];
        let (level, at) = &mut self.central.borrow_mut()[workspace];
        *level = (*level + (now - *at).as_secs_f64() * rate.rate_per_s).min(rate.burst);
        *at = now;
        let is_due = *level >= 1.0;
        *level -= f64::from(u8::from(is_due));
        is_due
    }

    /// Sends requests of all workspaces until `end`, `factor` times the usual demand each, in steps
    /// of 10 ms.
    pub async fn run(self: &Rc<Self>, until: Duration, rng: &mut StdRng, factor: &[f64]) {
        const STEP: Duration = Duration::from_millis(10);
        while self.began.elapsed() < until {
            for (index, workspace) in self.workspaces.iter().enumerate() {
                let mean = workspace.usual * factor[index] * STEP.as_secs_f64();
                for _ in 0..draw_poisson(mean, rng) {
                    self.request(index, rng.random_range(0..self.len()));
                }
            }
            sleep(STEP).await;
        }
    }

    /// Returns the largest part of the bound that a workspace used in any window that ends at `from`
    /// or later, with its number.
    pub fn worst_window(&self, from: Duration) -> (f64, usize) {
        let mut windows: Vec<VecDeque<Duration>> = vec![VecDeque::new(); self.workspaces.len()];
        let mut worst = (0.0, 0);
        let mut decisions = self.decisions.borrow().clone();
        decisions.sort_by_key(|decision| decision.at);
        for decision in decisions.iter().filter(|decision| decision.is_granted) {
            let window = &mut windows[decision.workspace];
            window.push_back(decision.at);
            while window.front().is_some_and(|at| *at + WINDOW < decision.at) {
                window.pop_front();
            }
            let rate = self.rates.borrow()[&self.workspaces[decision.workspace].name];
            let bound = (rate.rate_per_s * WINDOW.as_secs_f64() + rate.burst) * 1.1 + 20.0;
            let used = window.len() as f64 / bound;
            if decision.at >= from && used > worst.0 {
                worst = (used, decision.workspace);
            }
        }
        worst
    }

    /// Returns the admitted requests of a workspace in a span of time, as a part of those that a
    /// central bucket admits of the same demand. Over the limit the two admit different requests.
    pub fn admitted_part(&self, workspace: usize, from: Duration, until: Duration) -> f64 {
        let decisions = self.decisions.borrow();
        let in_span = decisions.iter().filter(|decision| {
            decision.workspace == workspace && decision.at >= from && decision.at < until
        });
        let (granted, due) = in_span.fold((0, 0), |(granted, due), decision| {
            (granted + u32::from(decision.is_granted), due + u32::from(decision.is_due))
        });
        f64::from(granted) / f64::from(due.max(1))
    }

    /// Returns the number of admitted requests of a workspace in a span of time.
    pub fn admitted_between(&self, workspace: usize, from: Duration, until: Duration) -> usize {
        let decisions = self.decisions.borrow();
        let is_counted = |decision: &&Decision| {
            decision.is_granted
                && decision.workspace == workspace
                && (from..until).contains(&decision.at)
        };
        decisions.iter().filter(is_counted).count()
    }

    /// Returns the part of the requests of all workspaces but one that a central bucket would have
    /// admitted and that were refused.
    pub fn refused_usual_part(&self, except: usize, from: Duration, until: Duration) -> f64 {
        let decisions = self.decisions.borrow();
        let due = decisions.iter().filter(|decision| {
            decision.is_due && decision.workspace != except && (from..until).contains(&decision.at)
        });
        let (all, refused) = due.fold((0, 0), |(all, refused), decision| {
            (all + 1, refused + u32::from(!decision.is_granted))
        });
        f64::from(refused) / f64::from(all.max(1))
    }

    pub fn book(&self, index: usize) -> Arc<AllowanceBook> {
        self.daemons[index].book.borrow().clone()
    }

    /// Returns the part of the requests from `from` to `until` that a central bucket would have
    /// admitted and that were refused.
    pub fn refused_part(&self, from: Duration, until: Duration) -> f64 {
        let decisions = self.decisions.borrow();
        let due = || {
            decisions
                .iter()
                .filter(|decision| decision.is_due && decision.at >= from && decision.at < until)
        };
        let refused = due().filter(|decision| !decision.is_granted).count();
        refused as f64 / due().count().max(1) as f64
    }
}

/// Runs the calls of one process of a daemon.
async fn run_calls(
    fleet: Rc<Fleet>,
    index: usize,
    book: Arc<AllowanceBook>,
    mut calls: mpsc::Receiver<OwnerCall>,
) {
    while let Some(call) = calls.recv().await {
        let (fleet, book) = (fleet.clone(), book.clone());
        fleet.calls.set(fleet.calls.get() + 1);
        tokio::task::spawn_local(async move {
            let began = Instant::now();
            let owner = fleet.daemons.iter().position(|daemon| daemon.name == call.owner);
            let owner = owner.expect("a daemon");
            sleep(ONE_WAY).await;
            if !fleet.can_reach(index, owner) {
                // A killed process resets the connection; a cut one is silent.
                if fleet.daemons[owner].is_running.get() {
                    sleep_until(began + CALL_TIMEOUT).await;
                }
                return book.deliver(&call, None);
            }
            let desk = fleet.daemons[owner].book.borrow().clone();
            let grant =
                desk.grant(&fleet.daemons[index].name, std::slice::from_ref(&call.ask)).remove(0);
            sleep(ONE_WAY).await;
            book.deliver(&call, grant);
        });
    }
}

/// Draws a number of arrivals with the given mean.
fn draw_poisson(mean: f64, rng: &mut StdRng) -> u32 {
    let (limit, mut product, mut count) = ((-mean).exp(), rng.random::<f64>(), 0);
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

/// Runs a test in virtual time on one thread.
pub fn run_virtual<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

pub fn seeded(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}
