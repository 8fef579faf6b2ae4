//! What the data path costs a proxy: memory per open session, and processor time per statement.
//! Bounded in sessions and statements; fails when a slope passes its regression bound.
//!
//! Run with `cargo bench -p dandelionpitch-e2e --bench data_path`.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use fixture::{connect, Process, Site};

/// Open sessions at which memory is read.
const SESSIONS: [usize; 3] = [100, 500, 1000];
/// Callers that run statements at the same time, and statements of each.
const CALLERS: usize = 16;
const STATEMENTS: usize = 1000;
/// Regression bounds: memory per session, processor time per read and per write.
const SESSION_KB_BOUND: f64 = 40.0;
const READ_US_BOUND: f64 = 150.0;
const WRITE_US_BOUND: f64 = 200.0;
/// Clock ticks a second in `/proc/<pid>/stat`, on Linux.
const TICKS: f64 = 100.0;

/// Resident memory, in KB.
fn resident(process: &Process) -> f64 {
    let path = format!("/proc/{}/status", process.pid());
    let status = std::fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field.expect("a resident size").parse().expect("a number")
}

/// Processor time used so far, in microseconds.
fn processor(process: &Process) -> f64 {
    let path = format!("/proc/{}/stat", process.pid());
    let stat = std::fs::read_to_string(path).expect("the process runs");
    let fields = stat.rsplit(')').next().expect("a stat line");
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks: f64 = [11, 12]
        .iter()
        .map(|&i| fields[i].parse::<f64>().unwrap())
        .sum();
    ticks / TICKS * 1e6
}

/// KB a session, from the least to the most open sessions.
async fn memory(site: &Site) -> f64 {
    let proxy = &site.proxies[0];
    let mut open = Vec::new();
    let mut readings = Vec::new();
    for count in SESSIONS {
        while open.len() < count {
            let session = connect(proxy, "lookup", "").await;
            session.simple_query("SELECT 1").await.expect("runs");
            open.push(session);
        }
        readings.push((count as f64, resident(&proxy.process)));
        println!(
            "{count} sessions: {:.1} MB",
            resident(&proxy.process) / 1024.0
        );
    }
    let (first, last) = (readings[0], readings[readings.len() - 1]);
    (last.1 - first.1) / (last.0 - first.0)
}

/// Microseconds of processor time a statement, over all callers; `text` makes the statement
/// from the caller's and the statement's number.
async fn time(site: &Site, user: &str, text: fn(usize, usize) -> String) -> f64 {
    let proxy = &site.proxies[0];
    let before = processor(&proxy.process);
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let client = connect(proxy, user, "").await;
        callers.push(tokio::spawn(async move {
            for number in 0..STATEMENTS {
                client
                    .simple_query(&text(caller, number))
                    .await
                    .expect("runs");
            }
        }));
    }
    for caller in callers {
        caller.await.expect("the caller ends");
    }
    (processor(&proxy.process) - before) / (CALLERS * STATEMENTS) as f64
}

#[tokio::main]
async fn main() {
    let site = Site::start("data-path", 1, 20).await;
    let read = time(&site, "lookup", |_, _| {
        "SELECT * FROM ledger WHERE id = 'style-1'".to_owned()
    })
    .await;
    let write = time(&site, "member", |caller, number| {
        format!("INSERT INTO ledger (id, body) VALUES ('{caller}-{number}', 'x')")
    })
    .await;
    let session = memory(&site).await;

    println!("read {read:.0} us, write {write:.0} us of processor time");
    println!("session {session:.1} KB");
    assert!(
        read <= READ_US_BOUND && write <= WRITE_US_BOUND,
        "time past its bound"
    );
    assert!(session <= SESSION_KB_BOUND, "memory past its bound");
}
