//! Debug.
use sk_decide::rollout::RolloutSettings;
use sk_lab::{draw_order, run_order};
#[test]
fn dbg() {
    let seed: u64 = std::env::var("SEED").unwrap().parse().unwrap();
    let o = draw_order(seed);
    println!("{:?} {:?} start {}", o.works, &o.slowness[1][..3.min(o.servers)], o.start);
    println!("{:?}", run_order(&o, RolloutSettings::default()));
}
