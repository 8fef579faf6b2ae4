//! Measurements for benches: the time of repeated work, and the memory of this process.

use std::time::{Duration, Instant};

const ROUNDS: usize = 5;

/// Runs `work` several times and returns the median duration.
pub fn median(mut work: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let started = Instant::now();
            work();
            started.elapsed()
        })
        .collect();
    times.sort();
    times[ROUNDS / 2]
}

/// The resident memory of this process, in KB.
pub fn resident_kb() -> f64 {
    let status =
        std::fs::read_to_string("/proc/self/status").expect("/proc/self/status is readable");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field
        .expect("VmRSS is present")
        .parse()
        .expect("VmRSS is a number")
}
