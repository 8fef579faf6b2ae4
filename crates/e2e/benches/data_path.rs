//! Measures the resource use of a proxy: memory per open session and CPU time per statement. Fails
//! if a value exceeds its regression bound.
//!
//! Run with `cargo bench -p dandelionpitch-e2e --bench data_path`.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use fixture::{connect, Process, Site};

/// Numbers of open sessions at which memory is measured.
const SESSION_COUNTS: [usize; 3] = [100, 500, 1000];
/// Callers that run statements concurrently.
const CALLERS: usize = 16;
const STATEMENTS_PER_CALLER: usize = 1000;
const SESSION_KB_BOUND: f64 = 40.0;
const READ_US_BOUND: f64 = 150.0;
const WRITE_US_BOUND: f64 = 200.0;
/// The unit of CPU times in `/proc/<pid>/stat` on Linux.
const CLOCK_TICKS_PER_SEC: f64 = 100.0;

/// Resident memory of the process, in KB.
fn resident_kb(process: &Process) -> f64 {
    let path = format!("/proc/{}/status", process.pid());
    let status = std::fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field.expect("a resident size").parse().expect("a number")
}

/// User and system CPU time of the process, in microseconds.
fn cpu_time_us(process: &Process) -> f64 {
    let path = format!("/proc/{}/stat", process.pid());
    let stat = std::fs::read_to_string(path).expect("the process runs");
    let fields = stat.rsplit(')').next().expect("a stat line");
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks: f64 = [11, 12]
        .iter()
        .map(|&i| fields[i].parse::<f64>().unwrap())
        .sum();
    ticks / CLOCK_TICKS_PER_SEC * 1e6
}

/// Memory per session in KB: the growth from the lowest to the highest number of sessions, divided
/// by the number of sessions in between.
async fn kb_per_session(site: &Site) -> f64 {
    let proxy = &site.proxies[0];
    let mut open = Vec::new();
    let mut readings = Vec::new();
    for count in SESSION_COUNTS {
        while open.len() < count {
            let session = connect(proxy, "lookup", "").await;
            session.simple_query("SELECT 1").await.expect("runs");
            open.push(session);
        }
        readings.push((count as f64, resident_kb(&proxy.process)));
        println!(
            "{count} sessions: {:.1} MB",
            resident_kb(&proxy.process) / 1024.0
        );
    }
    let (first, last) = (readings[0], readings[readings.len() - 1]);
    (last.1 - first.1) / (last.0 - first.0)
}

/// CPU time of the proxy per statement, in microseconds. `text` returns the statement for the
/// numbers of a caller and of a statement.
async fn cpu_us_per_statement(site: &Site, user: &str, text: fn(usize, usize) -> String) -> f64 {
    let proxy = &site.proxies[0];
    let before = cpu_time_us(&proxy.process);
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let client = connect(proxy, user, "").await;
        callers.push(tokio::spawn(async move {
            for number in 0..STATEMENTS_PER_CALLER {
                client
                    .simple_query(&text(caller, number))
                    .await
                    .expect("runs");
            }
        }));
    }
    for caller in callers {
        caller.await.expect("the caller does not panic");
    }
    (cpu_time_us(&proxy.process) - before) / (CALLERS * STATEMENTS_PER_CALLER) as f64
}

#[tokio::main]
async fn main() {
    let site = Site::start("data-path", 1, 20).await;
    let read = cpu_us_per_statement(&site, "lookup", |_, _| {
        "SELECT * FROM ledger WHERE id = 'style-1'".to_owned()
    })
    .await;
    let write = cpu_us_per_statement(&site, "member", |caller, number| {
        format!("INSERT INTO ledger (id, body) VALUES ('{caller}-{number}', 'x')")
    })
    .await;
    let session = kb_per_session(&site).await;

    println!("read {read:.0} us, write {write:.0} us of CPU time");
    println!("session {session:.1} KB");
    assert!(
        read <= READ_US_BOUND && write <= WRITE_US_BOUND,
        "CPU time per statement exceeds its bound"
    );
    assert!(
        session <= SESSION_KB_BOUND,
        "memory per session exceeds its bound"
    );
}
