//! What the control part computes at the size to design for (`docs/CAPACITY.md`): who watches
//! what when a proxy comes or goes, and reading a bundle. Fails past its regression bounds.
//!
//! Run with `cargo bench -p dandelionpitch-proxy`.

use std::time::{Duration, Instant};

use dandelionpitch_core::bundle::Bundle;
use dandelionpitch_proxy::control::duty::{Member, Roster};

const PROXIES: usize = 3_400;
const DCS: usize = 15;
const GROUPS: usize = 4_000;
const ROUNDS: usize = 5;
const DUTY_BOUND: Duration = Duration::from_millis(300);
const BUNDLE_BOUND: Duration = Duration::from_millis(500);

fn roster() -> Roster {
    let member = |index: usize| Member {
        dc: format!("dc-{}", index % DCS),
        id: format!("proxy-{index}"),
    };
    (0..PROXIES).map(member).collect()
}

fn bundle() -> String {
    let mut text = String::from("version = 1\nsigned_off_by = [\"bench\"]\n");
    for group in 0..GROUPS {
        let servers: Vec<String> = (0..3)
            .map(|server| format!("\"10.{}.{}.{server}:5432\"", group / 250, group % 250))
            .collect();
        text.push_str(&format!(
            "[[group]]\nname = \"g{group}\"\nservers = [{}]\n\
             [[caller]]\nuser = \"u{group}\"\ngroup = \"g{group}\"\nmax_staleness = \"1s\"\n",
            servers.join(", ")
        ));
    }
    text
}

/// The median time of some rounds.
fn median(mut work: impl FnMut()) -> Duration {
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

fn main() {
    let roster = roster();
    let me = Member {
        dc: "dc-0".to_owned(),
        id: "proxy-0".to_owned(),
    };
    let names: Vec<String> = (0..GROUPS).map(|group| format!("g{group}")).collect();
    let mut mine = 0;
    let duty = median(|| {
        let watched = names
            .iter()
            .filter(|name| roster.watchers(name).contains(&&me));
        mine = watched.count();
    });
    let text = bundle();
    let parse = median(|| {
        Bundle::parse(&text).expect("a valid bundle");
    });

    println!("duty: {duty:.1?} for {GROUPS} groups over {PROXIES} proxies, {mine} to watch");
    println!("bundle: {} KB, {parse:.1?} to read", text.len() / 1024);
    assert!(duty <= DUTY_BOUND, "duty is past its bound");
    assert!(parse <= BUNDLE_BOUND, "reading a bundle is past its bound");
}
