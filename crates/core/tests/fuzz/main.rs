//! Stateful fuzzing of the reducer. Several processes, their disks and the network between them
//! run in memory, and an oracle checks the guarantees.
//!
//! A longer run: `FIREFLYLUG_FUZZ_SEED=7 FIREFLYLUG_FUZZ_CASES=2000
//! cargo test --release -p fireflylug-core --test fuzz`. A failure prints the seed and the
//! shrunk case.

mod calls;
mod control_cuts;
mod control_hosts;
mod crashing_calls;
mod disk;
mod final_faults;
mod machine;
mod network;
mod oracle;
mod organisations;
mod rate_limits;
mod regressions;
mod targets;
mod world;

use std::cell::{Cell, RefCell};
use std::panic::{self, AssertUnwindSafe, catch_unwind};

use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use machine::Machine;

/// Number of cases in a CI run.
const CI_CASES: u32 = 48;

/// Maximum number of actions per case, exclusive.
const MAX_ACTIONS: usize = 60;

#[test]
fn guarantees_hold() {
    let seed = env_number("FIREFLYLUG_FUZZ_SEED").unwrap_or(1);
    let cases = env_number("FIREFLYLUG_FUZZ_CASES").unwrap_or(u64::from(CI_CASES)) as u32;
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_time: 30_000,
        max_shrink_iters: 4_000,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let strategy = Machine::sequential_strategy(1..MAX_ACTIONS);
    // Shrinking triggers the same panic many times.
    let hook = panic::take_hook();
    panic::set_hook(Box::new(|_| {}));
    let (case_count, has_failed) = (Cell::new(0_u32), Cell::new(false));
    // If shrinking runs out of time, the case that the runner ends with may pass.
    let smallest = RefCell::new(None);
    let outcome = runner.run(&strategy, |(state, actions, seen)| {
        // Runs after the first failing case only shrink it.
        case_count.set(case_count.get() + u32::from(!has_failed.get()));
        let case = (state.seed, actions.clone());
        let run = || Machine::test_sequential(config.clone(), state, actions, seen);
        let outcome = catch_unwind(AssertUnwindSafe(run));
        if outcome.is_err() {
            has_failed.set(true);
            smallest.replace(Some(case));
        }
        outcome.map_err(|panic| TestCaseError::fail(panic_text(&panic)))
    });
    panic::set_hook(hook);

    match outcome {
        Err(TestError::Fail(reason, _)) => {
            let (state_seed, actions) = smallest.take().expect("a case failed");
            panic!(
                "{reason}\nFIREFLYLUG_FUZZ_SEED={seed}, case {}, shrunk to \
                 Reference::new({state_seed}) with\n{actions:?}",
                case_count.get()
            )
        }
        Err(error) => panic!("seed {seed}: {error}"),
        Ok(()) => {}
    }
    println!("seed {seed}: {cases} cases passed");
}

fn env_number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn panic_text(panic: &Box<dyn std::any::Any + Send>) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned())).unwrap_or_default()
}
