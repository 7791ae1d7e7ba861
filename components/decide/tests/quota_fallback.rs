//! The own part of a daemon whose owner answers by turns.

use std::time::Duration;

use sk_decide::allowance::{
    AllowanceRate, HolderTerms, TakeStep, TokenGrant, TokenHolder, TokenWant,
};

/// Guards against own parts that fill while the owner grants the same tokens, so that each silence of
/// the owner grants the burst again.
#[test]
fn fills_only_in_silence() {
    let rate = AllowanceRate { rate_per_s: 500.0, burst: 500.0 };
    let mut holder = TokenHolder::new(HolderTerms { rate, known: 5 }, Duration::ZERO);
    let take_all = |holder: &mut TokenHolder, now| {
        let is_granted = |_: &u32| holder.take_fallback(0.5, now) == TakeStep::Granted;
        (0..1_000).take_while(is_granted).count()
    };
    let first = take_all(&mut holder, Duration::from_secs(1));
    assert!(first <= 3, "{first} at the start");
    for second in [2, 5, 8] {
        let grant = TokenGrant { tokens: 0, retry_after: Duration::ZERO };
        holder.receive(TokenWant::default(), grant, Duration::from_secs(second));
        let after = take_all(&mut holder, Duration::from_secs(second + 2));
        assert!(after <= 3, "{after} after an answer");
    }
    let silent = take_all(&mut holder, Duration::from_millis(10_500));
    assert!((45..=60).contains(&silent), "{silent} in half a second of silence");
}
