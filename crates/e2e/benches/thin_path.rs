//! Bounded load on the thin path: proxy against direct latency, and the replica share of a
//! stale-tolerant mix (one save by a member session to nine lookups by a lookup session). Prints the figures and fails when they pass the regression bounds.
//!
//! Run with `cargo bench -p dandelionpitch-e2e`.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::time::{Duration, Instant};

use fixture::{connect, operator_json, Site};

/// Statements per measured loop; the loops are bounded in count, not in time.
const ROUNDS: usize = 2000;
/// Statements at the start of the mix in which the lookup session's barrier may still be ahead
/// of the replicas.
const SETTLING: usize = 400;
/// Regression bounds: the proxy's p50 and p99 against direct, on loopback.
const P50_BOUND: f64 = 3.0;
const P99_BOUND: f64 = 4.0;
/// Regression bound: share of stale-tolerant reads served by replicas.
const REPLICA_SHARE_BOUND: f64 = 0.90;

fn percentile(sorted: &[Duration], share: f64) -> Duration {
    sorted[((sorted.len() as f64 - 1.0) * share) as usize]
}

async fn timed(client: &tokio_postgres::Client, query: &str) -> Vec<Duration> {
    let mut times = Vec::with_capacity(ROUNDS);
    for _ in 0..ROUNDS {
        let started = Instant::now();
        client.simple_query(query).await.expect("the query runs");
        times.push(started.elapsed());
    }
    times.sort();
    times
}

async fn direct(site: &Site) -> tokio_postgres::Client {
    let first = site.group.first_line.split(',').next().unwrap();
    let (host, port) = first.rsplit_once(':').unwrap();
    let mut config = tokio_postgres::Config::new();
    config
        .host(host)
        .port(port.parse().unwrap())
        .user("bench")
        .dbname("ledger");
    let (client, connection) = config.connect(tokio_postgres::NoTls).await.unwrap();
    tokio::spawn(connection);
    client
}

/// Reads served so far by replicas and by primaries.
fn reads(metrics: &serde_json::Value) -> (f64, f64) {
    let reads = |target: &str| {
        metrics
            .as_array()
            .unwrap()
            .iter()
            .filter(|f| f["name"] == "reads" && f["attributes"][0][1] == target)
            .map(|f| f["value"].as_f64().unwrap())
            .sum::<f64>()
    };
    (reads("replica"), reads("primary"))
}

/// The replicas' share of the reads between two readings.
fn share(before: (f64, f64), after: (f64, f64)) -> f64 {
    let (replica, primary) = (after.0 - before.0, after.1 - before.1);
    replica / (replica + primary).max(1.0)
}

#[tokio::main]
async fn main() {
    let site = Site::start("bench", 1, 20).await;
    let query = "SELECT * FROM ledger WHERE id = 'style-1'";
    let direct = direct(&site).await;
    direct
        .simple_query("INSERT INTO ledger (id, body) VALUES ('style-1', 'apa')")
        .await
        .unwrap();
    let member = connect(&site.proxies[0], "member", "").await;
    let lookup = connect(&site.proxies[0], "lookup", "").await;

    let base = timed(&direct, query).await;
    let proxied = timed(&member, query).await;
    let before = reads(&operator_json(&site.proxies[0], "/metrics").await);
    let mut settled = before;
    for round in 0..ROUNDS {
        if round == SETTLING {
            settled = reads(&operator_json(&site.proxies[0], "/metrics").await);
        }
        if round % 10 == 0 {
            let id = format!("save-{round}");
            let insert = format!("INSERT INTO ledger (id, body) VALUES ('{id}', 'ref')");
            member.simple_query(&insert).await.unwrap();
        } else {
            lookup.simple_query(query).await.unwrap();
        }
    }
    let metrics = operator_json(&site.proxies[0], "/metrics").await;

    let p50 = percentile(&proxied, 0.5).as_secs_f64() / percentile(&base, 0.5).as_secs_f64();
    let p99 = percentile(&proxied, 0.99).as_secs_f64() / percentile(&base, 0.99).as_secs_f64();
    println!(
        "direct  p50 {:?} p99 {:?}",
        percentile(&base, 0.5),
        percentile(&base, 0.99)
    );
    println!(
        "proxied p50 {:?} p99 {:?}",
        percentile(&proxied, 0.5),
        percentile(&proxied, 0.99)
    );
    println!("ratio   p50 {p50:.2} p99 {p99:.2} (bounds {P50_BOUND} / {P99_BOUND})");
    let after = reads(&metrics);
    let share = share(before, after);
    let rest = self::share(settled, after);
    println!("replica share of the lookup mix's reads {share:.3} (bound {REPLICA_SHARE_BOUND})");
    println!("after the session's first {SETTLING} statements {rest:.3}");
    assert!(
        p50 <= P50_BOUND && p99 <= P99_BOUND,
        "latency ratio past its bound"
    );
    assert!(share >= REPLICA_SHARE_BOUND, "replica share past its bound");
}
