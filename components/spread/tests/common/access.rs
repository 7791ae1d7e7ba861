//! A fleet whose daemons each have their own connection to the platform.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use sk_member::choose_relays;
use sk_spread::SpreadOptions;

use super::{AccessState, PlatformAccess, TestDaemon, TestFleet, all_hold, numbered, wait_for};

/// Time within which an accepted version must be in force at all reachable daemons.
pub const IN_FORCE: Duration = Duration::from_secs(2);
pub const DATA_CENTRES: [&str; 4] = ["lj1", "lj2", "lj3", "lj4"];
pub const DAEMONS_PER_CENTRE: usize = 3;

/// A fleet whose daemons each have their own connection to the platform.
pub struct AccessFleet {
    pub fleet: TestFleet,
    pub daemons: Vec<TestDaemon>,
    pub accesses: BTreeMap<String, Arc<PlatformAccess>>,
}

impl AccessFleet {
    /// Starts one relay and two others in each data centre, and puts a first version in force.
    pub fn start() -> Self {
        let fleet = TestFleet::new();
        let options = SpreadOptions {
            relays: 1,
            heartbeat: Duration::from_millis(400),
            suspect_after: Duration::from_millis(1_500),
            repair_interval: Duration::from_secs(1),
            start_window: Duration::from_millis(30),
            ..fleet.options.clone()
        };
        let (mut daemons, mut accesses) = (Vec::<TestDaemon>::new(), BTreeMap::new());
        for (data_centre, index) in
            DATA_CENTRES.iter().flat_map(|dc| (0..DAEMONS_PER_CENTRE).map(move |i| (dc, i)))
        {
            let name = format!("{data_centre}-{index:02}");
            let seeds = daemons.iter().take(2).map(|daemon| daemon.address).collect();
            let access = PlatformAccess::new(&fleet.platform);
            let options = SpreadOptions { seeds, ..options.clone() };
            daemons.push(fleet.start_with_source(
                &name,
                data_centre,
                options,
                access.clone(),
                fleet.platform.clone(),
            ));
            accesses.insert(name, access);
        }
        let total = daemons.len();
        wait_for("all daemons to join and be ready", || {
            daemons.iter().all(|daemon| daemon.present_count() == total && daemon.config.is_ready())
        });
        let fleet = Self { fleet, daemons, accesses };
        fleet.accept(1);
        // The choice of the daemons that watch the source settles shortly after the last daemon
        // joins.
        std::thread::sleep(Duration::from_secs(1));
        fleet
    }

    /// Returns the names of a data centre's daemons, in the order in which they watch the source.
    pub fn ranked(&self, data_centre: &str) -> Vec<String> {
        let members = self.daemons[0].members.snapshot();
        choose_relays(members.values().map(|record| &**record), data_centre, DAEMONS_PER_CENTRE)
    }

    /// Sets the state of the platform connections of the first `count` choices of every data
    /// centre.
    pub fn set_access(&self, count: usize, state: AccessState) {
        for data_centre in DATA_CENTRES {
            for name in self.ranked(data_centre).iter().take(count) {
                self.accesses[name].set(state);
            }
        }
    }

    /// Has the platform accept a version and checks that it is in force everywhere in time.
    #[track_caller]
    pub fn accept(&self, version: u64) {
        let started_at = Instant::now();
        self.fleet.platform.accept(numbered(version));
        while !all_hold(&self.daemons, version) {
            let late: Vec<&str> = self
                .daemons
                .iter()
                .filter(|daemon| daemon.version() < version)
                .map(|daemon| daemon.name.as_str())
                .collect();
            assert!(
                started_at.elapsed() < IN_FORCE,
                "version {version} is not in force at {late:?}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        println!("version {version} in force after {:?}", started_at.elapsed());
    }
}
