//! Versions that follow each other closely over slow links.

mod common;

use std::time::{Duration, Instant};

use common::{SlowLink, TestDaemon, TestFleet, all_hold, wait_for, with_routes};

const DAEMONS: usize = 16;
const BYTES_PER_S: usize = 150_000;
/// Time between versions.
const PAUSE: Duration = Duration::from_millis(1_600);
/// Time within which an accepted version must be in force everywhere.
const IN_FORCE: Duration = Duration::from_millis(2_500);

/// Guards against callers that get 404 for a route whose version was accepted more than 2.5 s
/// before: a change of 920 routes fills the links, and the versions that follow queue behind it.
#[test]
fn grown_in_series() {
    let fleet = TestFleet::new();
    let started = (0..DAEMONS).fold(Vec::<(TestDaemon, SlowLink)>::new(), |mut started, index| {
        let seeds: Vec<_> = started.iter().take(2).map(|(daemon, _)| daemon.address).collect();
        let (name, source) = (format!("lj1-{index:02}"), fleet.platform.clone());
        started.push(fleet.start_behind_link(BYTES_PER_S, &name, "lj1", &seeds, source));
        started
    });
    let daemons: Vec<TestDaemon> = started.into_iter().map(|(daemon, _)| daemon).collect();
    wait_for("all daemons to join and be ready", || {
        daemons.iter().all(|daemon| daemon.present_count() == DAEMONS && daemon.config.is_ready())
    });
    fleet.platform.accept(with_routes(1, 200));
    wait_for("the first version", || all_hold(&daemons, 1));
    // The choice of the daemons that watch the source settles shortly after the last daemon joins.
    std::thread::sleep(Duration::from_secs(1));
    let mut took = Vec::new();
    std::thread::scope(|scope| {
        let waits: Vec<_> = [(2, 1_120), (3, 1_160), (4, 1_200), (5, 1_900)]
            .into_iter()
            .map(|(version, routes)| {
                let accepted = Instant::now();
                fleet.platform.accept(with_routes(version, routes));
                let daemons = &daemons;
                let wait = scope.spawn(move || {
                    wait_for("a version of the series", || all_hold(daemons, version));
                    accepted.elapsed()
                });
                std::thread::sleep(PAUSE);
                wait
            })
            .collect();
        took.extend(waits.into_iter().map(|wait| wait.join().expect("a wait")));
    });
    println!("in force after {took:?}");
    assert!(took.iter().all(|took| *took <= IN_FORCE), "in force after {took:?}");
}
