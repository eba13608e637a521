//! Configuration of the fuzz tests: the same cases each time, and more of them on request.

use proptest::{
    prelude::ProptestConfig,
    test_runner::RngSeed, //
};

/// Returns a configuration with `cases` cases from a fixed seed, which `CHERVILWIND_FUZZ_CASES` and
/// `CHERVILWIND_FUZZ_SEED` override.
pub fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases: env("CHERVILWIND_FUZZ_CASES").map_or(cases, |n| n as u32),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(env("CHERVILWIND_FUZZ_SEED").unwrap_or(1)),
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    }
}

fn env(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}
