//! One caller, or one team, with most of the calls.

use expect_test::expect;

mod model;

use model::{Load, Scenario, millis, short_load};

/// Checks that flows 1 to 3 are served well beside hot ones, and not so by the naive version.
fn check_others(scenario: &Scenario) -> String {
    let both = scenario.compare();
    for flow in 1..4 {
        let share = both.guarded.short(flow).good_share();
        assert!(share >= 0.99, "flow {flow}: {share}");
        assert!(both.naive.short(flow).good_share() < 0.9, "the naive version must fail");
    }
    assert!(both.guarded.good() >= 0.9 * 4.0 * scenario.capacity(millis(10)));
    both.to_string()
}

fn three_callers(scenario: &Scenario) -> Vec<Load> {
    let load = short_load(0.1 * scenario.capacity(millis(10)), 4);
    (1..4).map(|flow| Load { flow, ..load }).collect()
}

/// One caller sends three times what all servers can serve, say from a loop without a pause, beside
/// three callers of its team with a tenth each. Served in the order of arrival, the three lose as
/// large a portion of their calls as the one that causes it.
#[test]
fn hot_caller() {
    let mut scenario = Scenario::default();
    scenario.loads = three_callers(&scenario);
    let hot = short_load(3.0 * scenario.capacity(millis(10)), 4);
    scenario.loads.push(Load { flow: 9, ..hot });
    expect![[r#"
        guarded
        short 1: sent 2404 good 2402 refused 2 late 0 p99 17.5ms
        short 2: sent 2341 good 2339 refused 2 late 0 p99 17.2ms
        short 3: sent 2469 good 2463 refused 6 late 0 p99 17.2ms
        short 9: sent 71798 good 16865 refused 54933 late 0 p99 31.2ms
        sends 87134
        naive
        short 1: sent 2404 good 24 refused 0 late 2380 p99 395.2ms
        short 2: sent 2341 good 22 refused 0 late 2319 p99 398.1ms
        short 3: sent 2469 good 30 refused 0 late 2439 p99 396.2ms
        short 9: sent 71798 good 754 refused 0 late 71044 p99 390.9ms
        sends 310899
    "#]]
    .assert_eq(&check_others(&scenario));
}

/// A team of thirty callers sends three times the capacity beside a team of three. Fair between
/// callers alone, it would get ten times the share of the other.
#[test]
fn hot_team() {
    let mut scenario = Scenario::default();
    scenario.loads = three_callers(&scenario);
    let hot = short_load(0.1 * scenario.capacity(millis(10)), 4);
    scenario.loads.extend((11..41).map(|flow| Load { flow, team: 2, ..hot }));
    let golden = check_others(&scenario);
    let wanted = ["guarded", "naive", "short 1:", "short 2:", "short 3:", "short 11:"];
    let is_wanted = |line: &&str| wanted.iter().any(|start| line.starts_with(start));
    let lines: Vec<_> = golden.lines().filter(is_wanted).collect();
    expect![[r#"
        guarded
        short 1: sent 2258 good 2258 refused 0 late 0 p99 19.3ms
        short 2: sent 2411 good 2410 refused 1 late 0 p99 18.7ms
        short 3: sent 2427 good 2427 refused 0 late 0 p99 18.4ms
        short 11: sent 2439 good 560 refused 1879 late 0 p99 43.0ms
        naive
        short 1: sent 2258 good 27 refused 0 late 2231 p99 399.5ms
        short 2: sent 2411 good 15 refused 0 late 2396 p99 396.1ms
        short 3: sent 2427 good 32 refused 0 late 2395 p99 393.8ms
        short 11: sent 2439 good 22 refused 0 late 2417 p99 396.1ms"#]]
    .assert_eq(&lines.join("\n"));
}
