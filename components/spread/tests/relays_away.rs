//! Daemons that watch the source for their data centre and do not reach it, while others would.

mod common;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use common::{PlatformWay, TestDaemon, TestFleet, WayState, all_hold, numbered, wait_for};
use sk_member::choose_relays;
use sk_spread::SpreadOptions;

/// Time in which an accepted version has to be in force at all who can be reached.
const IN_FORCE: Duration = Duration::from_secs(2);
const DATA_CENTRES: [&str; 4] = ["lj1", "lj2", "lj3", "lj4"];
const DAEMONS: usize = 3;

/// A fleet whose daemons each have a way to the platform of their own.
struct WayFleet {
    fleet: TestFleet,
    daemons: Vec<TestDaemon>,
    ways: BTreeMap<String, Arc<PlatformWay>>,
}

impl WayFleet {
    /// Starts one relay and two others in each data centre and puts a first version in force.
    fn start() -> Self {
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
            DATA_CENTRES.iter().flat_map(|dc| (0..DAEMONS).map(move |i| (dc, i)))
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
    fn ranked(&self, data_centre: &str) -> Vec<String> {
        let view = self.daemons[0].members.view();
        choose_relays(view.values().map(|record| &**record), data_centre, DAEMONS)
    }

    /// Closes the ways of the first `count` choices of every data centre.
    fn close(&self, count: usize, state: WayState) {
        for data_centre in DATA_CENTRES {
            for name in self.ranked(data_centre).iter().take(count) {
                self.ways[name].set(state);
            }
        }
    }

    /// Has the platform accept a version and checks that it is in force everywhere in time.
    #[track_caller]
    fn accept(&self, version: u64) {
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

/// The platform refuses the calls of one daemon in each data centre, the one that watches it for the
/// others, and serves everyone else. Callers at all daemons go on being sent by old routes, for as
/// long as the refusal lasts. A relay used to be replaced only when it died, and one that is refused
/// is alive. On such a day the four relays made one to three calls a second that all failed, and
/// nine daemons that the platform would have served made none in nine seconds.
#[test]
fn relays_refused() {
    let fleet = WayFleet::start();
    fleet.close(1, WayState::Refuses);
    fleet.accept(2);
    // The next one finds the fleet as the refusal has left it.
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
    fleet.close(1, WayState::Open);
    fleet.accept(4);
}

/// The platform's answers to the relays stay away without a word. A relay learns it only when a
/// watch does not end, and a version accepted in the moment in which the silence begins is to be in
/// force as soon as any other.
#[test]
fn relays_silent() {
    let fleet = WayFleet::start();
    fleet.close(1, WayState::Silent);
    fleet.accept(2);
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
    fleet.close(1, WayState::Open);
    fleet.accept(4);
}

/// Most daemons of each data centre are refused, the first two choices among them. The last one is
/// the only one there that can learn of a version.
#[test]
fn most_refused() {
    let fleet = WayFleet::start();
    fleet.close(DAEMONS - 1, WayState::Refuses);
    fleet.accept(2);
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
}

/// A whole data centre does not reach the platform, but its peers elsewhere do. Its callers are to be
/// sent by the new routes as soon as those of the others.
#[test]
fn one_centre_refused() {
    let fleet = WayFleet::start();
    for name in fleet.ranked(DATA_CENTRES[0]) {
        fleet.ways[&name].set(WayState::Refuses);
    }
    fleet.accept(2);
    std::thread::sleep(Duration::from_secs(3));
    fleet.accept(3);
}
