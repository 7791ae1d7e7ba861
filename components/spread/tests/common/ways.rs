//! A fleet whose daemons each have a way to the platform of their own.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use sk_member::choose_relays;
use sk_spread::SpreadOptions;

use super::{PlatformWay, TestDaemon, TestFleet, WayState, all_hold, numbered, wait_for};

/// Time in which an accepted version has to be in force at all who can be reached.
pub const IN_FORCE: Duration = Duration::from_secs(2);
pub const DATA_CENTRES: [&str; 4] = ["lj1", "lj2", "lj3", "lj4"];
pub const CENTRE_DAEMONS: usize = 3;

/// A fleet whose daemons each have a way to the platform of their own.
pub struct WayFleet {
    pub fleet: TestFleet,
    pub daemons: Vec<TestDaemon>,
    pub ways: BTreeMap<String, Arc<PlatformWay>>,
}

impl WayFleet {
    /// Starts one relay and two others in each data centre and puts a first version in force.
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
        let (mut daemons, mut ways) = (Vec::<TestDaemon>::new(), BTreeMap::new());
        for (data_centre, index) in
            DATA_CENTRES.iter().flat_map(|dc| (0..CENTRE_DAEMONS).map(move |i| (dc, i)))
        {
            let name = format!("{data_centre}-{index:02}");
            let seeds = daemons.iter().take(2).map(|daemon| daemon.address).collect();
            let way = PlatformWay::new(&fleet.platform);
            let options = SpreadOptions { seeds, ..options.clone() };
            daemons.push(fleet.start_over(
                &name,
                data_centre,
                options,
                way.clone(),
                fleet.platform.clone(),
            ));
            ways.insert(name, way);
        }
        let total = daemons.len();
        wait_for("all daemons to meet and be ready", || {
            daemons.iter().all(|daemon| daemon.present() == total && daemon.held.is_ready())
        });
        let fleet = Self { fleet, daemons, ways };
        fleet.accept(1);
        // Views of who watches the source settle a little after the last daemon came.
        std::thread::sleep(Duration::from_secs(1));
        fleet
    }

    /// Names the daemons of a data centre, the first choice for watching the source first.
    pub fn ranked(&self, data_centre: &str) -> Vec<String> {
        let view = self.daemons[0].members.view();
        choose_relays(view.values().map(|record| &**record), data_centre, CENTRE_DAEMONS)
    }

    /// Closes the ways of the first `count` choices of every data centre.
    pub fn close(&self, count: usize, state: WayState) {
        for data_centre in DATA_CENTRES {
            for name in self.ranked(data_centre).iter().take(count) {
                self.ways[name].set(state);
            }
        }
    }

    /// Has the platform accept a version and checks that it is in force everywhere in time.
    #[track_caller]
    pub fn accept(&self, version: u64) {
        let began = Instant::now();
        self.fleet.platform.accept(numbered(version));
        while !all_hold(&self.daemons, version) {
            let late: Vec<&str> = self
                .daemons
                .iter()
                .filter(|daemon| daemon.version() < version)
                .map(|daemon| daemon.name.as_str())
                .collect();
            assert!(began.elapsed() < IN_FORCE, "version {version} is not in force at {late:?}");
            std::thread::sleep(Duration::from_millis(5));
        }
        println!("version {version} in force after {:?}", began.elapsed());
    }
}
