//! Control plane costs at the design size (`docs/CAPACITY.md`): assigning groups to proxies, parsing
//! a bundle, and the memory of idle pools. Fails if a cost exceeds its regression bound.
//!
//! Run with `cargo bench -p dandelionpitch-proxy`.

#[path = "../../engine/benches/measure/mod.rs"]
mod measure;

use std::time::Duration;

use dandelionpitch_core::bundle::Bundle;
use dandelionpitch_proxy::{
    config::Config,
    control::assignment::{Member, Roster},
    pool,
};
use measure::{median, resident_kb};

const PROXIES: usize = 3_400;
const DCS: usize = 15;
const GROUPS: usize = 4_000;
const ASSIGNMENT_BOUND: Duration = Duration::from_millis(300);
const POOL_KB_BOUND: f64 = 4.0;
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

/// The memory in KB of a pool without connections.
fn pool_kb() -> f64 {
    let config = Config::load(None).expect("the embedded settings");
    let before = resident_kb();
    let pools: Vec<_> = (0..3 * GROUPS)
        .map(|index| {
            let address = ([10, 0, (index / 250) as u8, (index % 250) as u8], 5432).into();
            pool::build(address, "g", 8, &config)
        })
        .collect();
    (resident_kb() - before) / pools.len() as f64
}

fn main() {
    let roster = roster();
    let me = Member {
        dc: "dc-0".to_owned(),
        id: "proxy-0".to_owned(),
    };
    let names: Vec<String> = (0..GROUPS).map(|group| format!("g{group}")).collect();
    let mut watched_count = 0;
    let assign = median(|| {
        let watched = names
            .iter()
            .filter(|name| roster.watchers(name).contains(&&me));
        watched_count = watched.count();
    });
    let text = bundle();
    let parse = median(|| {
        Bundle::parse(&text).expect("a valid bundle");
    });

    let pool = pool_kb();
    println!(
        "pool: {pool:.2} KB per server, {:.1} MB for all",
        pool * 3.0 * GROUPS as f64 / 1024.0
    );
    println!(
        "assignment: {assign:.1?} for {GROUPS} groups over {PROXIES} proxies, {watched_count} to watch"
    );
    println!("bundle: {} KB, {parse:.1?} to parse", text.len() / 1024);
    assert!(
        assign <= ASSIGNMENT_BOUND,
        "assignment takes longer than its bound"
    );
    assert!(
        pool <= POOL_KB_BOUND,
        "an idle pool uses more memory than its bound"
    );
    assert!(
        parse <= BUNDLE_BOUND,
        "parsing a bundle takes longer than its bound"
    );
}
