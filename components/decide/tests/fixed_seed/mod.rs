//! Property tests that run the same cases each time.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

pub fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(5);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}
