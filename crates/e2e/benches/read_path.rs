//! Compares the read latency through a proxy with that of a direct connection, and measures the
//! share of reads served by replicas in a mix of one insert by a `member` session to nine reads by
//! a `lookup` session, which accepts stale data. Fails if a value exceeds its regression bound.
//!
//! Run with `cargo bench -p dandelionpitch-e2e --bench read_path`.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::time::{Duration, Instant};

use fixture::{connect, operator_json, Site};

/// Statements per measurement.
const STATEMENTS: usize = 2000;
/// Statements at the start of the mix during which the replicas may not yet have reached the log
/// position that the lookup session must see.
const WARM_UP_STATEMENTS: usize = 400;
/// Maximum ratio of the latency through the proxy to that of a direct connection.
const P50_RATIO_BOUND: f64 = 3.0;
const P99_RATIO_BOUND: f64 = 4.0;
/// Minimum share of the reads of the mix that replicas serve.
const REPLICA_SHARE_BOUND: f64 = 0.90;

fn percentile(sorted: &[Duration], fraction: f64) -> Duration {
    sorted[((sorted.len() as f64 - 1.0) * fraction) as usize]
}

/// Runs the query repeatedly; returns the latencies in ascending order.
async fn measure_latencies(client: &tokio_postgres::Client, query: &str) -> Vec<Duration> {
    let mut latencies = Vec::with_capacity(STATEMENTS);
    for _ in 0..STATEMENTS {
        let started_at = Instant::now();
        client.simple_query(query).await.expect("the query runs");
        latencies.push(started_at.elapsed());
    }
    latencies.sort();
    latencies
}

/// Connects directly to the first server, bypassing the proxy.
async fn connect_directly(site: &Site) -> tokio_postgres::Client {
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

/// Number of reads served so far by replicas and by primaries.
fn read_counts(metrics: &serde_json::Value) -> (f64, f64) {
    let count = |target: &str| {
        metrics
            .as_array()
            .unwrap()
            .iter()
            .filter(|sample| sample["name"] == "reads" && sample["attributes"][0][1] == target)
            .map(|sample| sample["value"].as_f64().unwrap())
            .sum::<f64>()
    };
    (count("replica"), count("primary"))
}

/// The share of reads that replicas served between two calls of [`read_counts`].
fn replica_share(before: (f64, f64), after: (f64, f64)) -> f64 {
    let (replica, primary) = (after.0 - before.0, after.1 - before.1);
    replica / (replica + primary).max(1.0)
}

#[tokio::main]
async fn main() {
    let site = Site::start("bench", 1, 20).await;
    let query = "SELECT * FROM ledger WHERE id = 'style-1'";
    let direct = connect_directly(&site).await;
    direct
        .simple_query("INSERT INTO ledger (id, body) VALUES ('style-1', 'apa')")
        .await
        .unwrap();
    let member = connect(&site.proxies[0], "member", "").await;
    let lookup = connect(&site.proxies[0], "lookup", "").await;

    let base = measure_latencies(&direct, query).await;
    let proxied = measure_latencies(&member, query).await;
    let before = read_counts(&operator_json(&site.proxies[0], "/metrics").await);
    let mut warmed_up = before;
    for number in 0..STATEMENTS {
        if number == WARM_UP_STATEMENTS {
            warmed_up = read_counts(&operator_json(&site.proxies[0], "/metrics").await);
        }
        if number % 10 == 0 {
            let id = format!("save-{number}");
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
    println!("ratio   p50 {p50:.2} p99 {p99:.2} (bounds {P50_RATIO_BOUND} / {P99_RATIO_BOUND})");
    let after = read_counts(&metrics);
    let share = replica_share(before, after);
    let share_after_warm_up = self::replica_share(warmed_up, after);
    println!("replica share of the lookup mix's reads {share:.3} (bound {REPLICA_SHARE_BOUND})");
    println!("after the first {WARM_UP_STATEMENTS} statements {share_after_warm_up:.3}");
    assert!(
        p50 <= P50_RATIO_BOUND && p99 <= P99_RATIO_BOUND,
        "latency ratio exceeds its bound"
    );
    assert!(
        share >= REPLICA_SHARE_BOUND,
        "replica share is below its bound"
    );
}
