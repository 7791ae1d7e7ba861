//! Simulated roll-outs of drawn services.

use sk_decide::rollout::{RolloutMethod, RolloutPacing, RolloutSettings};
use sk_lab::{RolloutFigures, draw_order, run_order};

#[test]
fn trial() {
    let count: u64 = std::env::var("ORDERS").map_or(200, |count| count.parse().unwrap());
    for method in [RolloutMethod::SequentialTest, RolloutMethod::FixedLimits] {
        for pacing in [RolloutPacing::ByEvidence, RolloutPacing::ByTime] {
            let settings = RolloutSettings { method, pacing, ..RolloutSettings::default() };
            let mut figures = RolloutFigures::default();
            for seed in 0..count {
                let order = draw_order(seed);
                let outcome = run_order(&order, settings);
                let is_wrong = match order.fault {
                    None => !outcome.is_done(),
                    Some(fault) => {
                        fault.is_strong()
                            && (!outcome.is_stopped_in_time(&settings)
                                || outcome.exposure_ratio(&settings) > 1.0)
                            && outcome.bad_responses >= 50
                    }
                };
                if is_wrong
                    && method == RolloutMethod::SequentialTest
                    && pacing == RolloutPacing::ByEvidence
                {
                    println!(
                        "{seed} n={} slots={} rate={:.0} D={:.1} works={} {:?} gray {:?} bursts {:?}\n   {outcome:?}",
                        order.servers,
                        order.slots,
                        order.rate,
                        order.duration.as_secs_f64(),
                        order.works.len(),
                        order.fault,
                        order.gray,
                        order.bursts
                    );
                }
                figures.record(&order, &outcome, &settings);
            }
            println!("{method:?} {pacing:?}\n{figures}");
        }
    }
}
