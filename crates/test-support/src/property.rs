//! Property tests whose inputs are the same in every run.
//!
//! `bolero` takes its randomness from the operating system, so a rare failure would appear in
//! one CI run and not in the next. This module feeds its generators from numbered seeds
//! instead. Set [`FIRST_SEED`] to try other inputs by hand.

use std::fmt::Debug;

use bolero::generator::bolero_generator::TypeGenerator;
use bolero::generator::bolero_generator::TypeValueGenerator;
use bolero::generator::bolero_generator::ValueGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The environment variable that holds the first seed, 0 if unset.
pub const FIRST_SEED: &str = "HEATHERKNOT_FIRST_SEED";

/// Number of inputs of a test that does not set its own.
const DEFAULT_ITERATIONS: u64 = 1_000;

/// A builder for a property test.
#[derive(Debug)]
pub struct Check<G> {
    generator: G,
    iterations: u64,
    options: Options,
}

/// Returns a builder for a property test over byte strings.
pub fn check() -> Check<TypeValueGenerator<Vec<u8>>> {
    Check {
        generator: bolero::generator::bolero_generator::produce(),
        iterations: DEFAULT_ITERATIONS,
        options: Options::default(),
    }
}

impl<G> Check<G> {
    /// Generates values of type `T`.
    pub fn with_type<T: TypeGenerator>(self) -> Check<TypeValueGenerator<T>> {
        self.with_generator(bolero::generator::bolero_generator::produce())
    }

    /// Generates values with `generator`.
    pub fn with_generator<H: ValueGenerator>(self, generator: H) -> Check<H> {
        Check {
            generator,
            iterations: self.iterations,
            options: self.options,
        }
    }

    /// Sets the number of inputs.
    pub fn with_iterations(mut self, iterations: usize) -> Self {
        self.iterations = iterations as u64;
        self
    }

    /// Sets the maximum number of random bytes used to generate one input.
    pub fn with_max_len(mut self, max_len: usize) -> Self {
        self.options = self.options.with_max_len(max_len);
        self
    }
}

impl<G: ValueGenerator> Check<G>
where
    G::Output: Debug,
{
    /// Runs the test on every input.
    ///
    /// # Panics
    ///
    /// Panics if the test panics, after printing the seed and the input.
    pub fn for_each(self, mut test: impl FnMut(&G::Output)) {
        let first = std::env::var(FIRST_SEED).ok();
        let first: u64 = first.and_then(|text| text.parse().ok()).unwrap_or(0);
        for seed in first..first + self.iterations {
            let mut driver = Rng::new(StdRng::seed_from_u64(seed), &self.options);
            let Some(value) = self.generator.generate(&mut driver) else {
                continue;
            };
            let report = Report {
                seed,
                value: &value,
            };
            test(&value);
            drop(report);
        }
    }
}

/// Prints the seed and the input when dropped during a panic.
struct Report<'a, T: Debug> {
    seed: u64,
    value: &'a T,
}

impl<T: Debug> Drop for Report<'_, T> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{FIRST_SEED}={} fails: {:#?}", self.seed, self.value);
        }
    }
}
