//! A short soak with fixed seeds; by hand, `scripts/soak.sh` plays fresh ones.

use std::path::Path;
use std::process::Command;

/// Seeds that are played each time: two drawn at the start, and each that ever failed, with its
/// cause beside it.
///
/// With `true` boxes start again and other writers overwrite what they tell.
const SEEDS: [(u64, bool); 4] = [(2, false), (5, false), (2, true), (5, true)];

/// How long faults strike, in milliseconds.
const SPAN_MS: u64 = 5_000;

#[test]
fn promises_hold_while_processes_links_and_the_store_fail() {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cherrystandd"));
    let program = daemon.with_file_name("cherrystand_soak");
    assert!(program.exists(), "{}: run `cargo build --workspace` first", program.display());
    for (seed, lives) in SEEDS {
        let mut played = Command::new(&program);
        played.args(["--seed", &seed.to_string(), "--span-ms", &SPAN_MS.to_string()]);
        if lives {
            played.arg("--lives");
        }
        let played = played.output().expect("the soak");
        assert!(played.status.success(), "{}", String::from_utf8_lossy(&played.stdout));
    }
}
