//! Comparison with fixed parts by daemon on the same drawn demand. Prints figures; run it with
//! `cargo test -p sk-allowance --test fixed_parts -- --ignored --nocapture`.

mod common;

use std::{collections::HashMap, time::Duration};

use common::{Fleet, power_law, run_virtual, seconds, seeded};
use sk_decide::allowance::FallbackBucket;

fn compare(count: usize, workspaces: usize, flooding: usize) {
    run_virtual(async {
        let mut rng = seeded(count as u64);
        let fleet = Fleet::start(count, power_law(workspaces, 25.0 * count as f64));
        let mut factor = vec![1.0; workspaces];
        fleet.run(seconds(12), &mut rng, &factor).await;
        factor[flooding] = 6.0;
        fleet.run(seconds(24), &mut rng, &factor).await;
        let mut parts: HashMap<(usize, usize), FallbackBucket> = HashMap::new();
        let (mut due, mut refused, mut flood) = (0_u32, 0_u32, (0_u32, 0_u32));
        let mut decisions = fleet.decisions.borrow().clone();
        decisions.sort_by_key(|decision| decision.at);
        for decision in decisions {
            let rate = fleet.workspaces[decision.workspace].rate;
            let part = parts.entry((decision.workspace, decision.daemon));
            let part = part
                .or_insert_with(|| FallbackBucket::new(rate, count as u32, 1.0, Duration::ZERO));
            let is_granted = part.take(decision.at).is_ok();
            if decision.is_due && (seconds(5)..seconds(12)).contains(&decision.at) {
                due += 1;
                refused += u32::from(!is_granted);
            }
            if decision.workspace == flooding && decision.at >= seconds(12) {
                flood = (flood.0 + u32::from(is_granted), flood.1 + u32::from(decision.is_due));
            }
        }
        println!(
            "{count} daemons: refused in calm times {:.4} with fixed parts, {:.4} with owners; \
             admitted in the flood {:.3} and {:.3} of the central bucket's",
            f64::from(refused) / f64::from(due),
            fleet.refused_part(seconds(5), seconds(12)),
            f64::from(flood.0) / f64::from(flood.1),
            fleet.admitted_part(flooding, seconds(12), seconds(24)),
        );
    });
}

#[test]
#[ignore = "prints a comparison"]
fn fixed_parts_and_owners() {
    compare(3, 20, 0);
    compare(13, 40, 3);
    compare(80, 82, 12);
    compare(300, 120, 0);
}

/// Time of one decision with tokens held, and memory of many workspaces.
#[test]
#[ignore = "prints a benchmark"]
fn time_of_a_decision() {
    use sk_decide::allowance::{AllowanceRate, HolderTerms, TokenGrant, TokenHolder, TokenWant};
    let rate = AllowanceRate { rate_per_s: 1e6, burst: 0.0 };
    let mut holder = TokenHolder::new(HolderTerms { rate, known: 80 }, Duration::ZERO);
    let grant = TokenGrant { tokens: 1_000_000, retry_after: Duration::ZERO };
    holder.receive(TokenWant::default(), grant, Duration::ZERO);
    let began = std::time::Instant::now();
    for step in 0..1_000_000 {
        std::hint::black_box(holder.take(0.5, Duration::from_nanos(step)));
    }
    println!("{:?} a decision", began.elapsed() / 1_000_000);
    println!("{} bytes a holder", size_of::<TokenHolder>());
    println!("{} bytes a bucket", size_of::<sk_decide::allowance::OwnerBucket>());
}
