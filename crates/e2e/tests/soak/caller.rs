//! The callers of a soak test. They write and read continuously, and record every reply.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Mutex,
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use super::{
    fixture::line::{Answer, Caller, LATEST, SESSION},
    plan::PROXIES,
};

/// Number of callers. Each writes to items of its own.
pub const CALLERS: usize = 8;

/// State shared by the callers and the test.
pub struct Shared {
    /// The listen address of each proxy.
    addrs: Mutex<Vec<String>>,
    stop: AtomicBool,
    /// The number of the last acknowledged write of each caller.
    acked: Vec<AtomicU64>,
    /// Writes of unknown outcome, by caller and number. They may take effect at any later time.
    unknown: Mutex<BTreeSet<(usize, u64)>>,
    violations: Mutex<Vec<String>>,
    statements: AtomicU64,
}

impl Shared {
    /// The initial state for proxies that listen on these addresses.
    pub fn new(addrs: Vec<String>) -> Self {
        Self {
            addrs: Mutex::new(addrs),
            stop: AtomicBool::new(false),
            acked: (0..CALLERS).map(|_| AtomicU64::new(0)).collect(),
            unknown: Mutex::default(),
            violations: Mutex::default(),
            statements: AtomicU64::new(0),
        }
    }

    /// Sets the address of a proxy, which changes when it restarts.
    pub fn set_address(&self, proxy: usize, addr: String) {
        self.addrs.lock().expect("lock is not poisoned")[proxy] = addr;
    }

    /// Makes the callers stop before their next write.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Takes the violations that callers have reported.
    pub fn take_violations(&self) -> Vec<String> {
        std::mem::take(&mut *self.violations.lock().expect("lock is not poisoned"))
    }

    /// Number of writes and answered reads. A transaction counts as one write.
    pub fn statements(&self) -> u64 {
        self.statements.load(Ordering::Relaxed)
    }

    /// The writes of unknown outcome, by caller and number.
    pub fn unknown(&self) -> BTreeSet<(usize, u64)> {
        self.unknown.lock().expect("lock is not poisoned").clone()
    }

    fn address(&self, proxy: usize) -> String {
        self.addrs.lock().expect("lock is not poisoned")[proxy].clone()
    }

    fn may_apply_late(&self, caller: usize, number: u64) -> bool {
        let unknown = self.unknown.lock().expect("lock is not poisoned");
        unknown.contains(&(caller, number))
    }

    fn report_violation(&self, description: String) {
        self.violations
            .lock()
            .expect("lock is not poisoned")
            .push(description);
    }
}

/// The outcome of a write, as its caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Acked,
    NotRun,
    Unknown,
}

/// The reply to a write, and the Unix time in microseconds at which its caller received it.
#[derive(Clone, Copy, Debug)]
pub struct Reply {
    pub outcome: Outcome,
    pub at_us: u64,
}

impl Reply {
    fn now(outcome: Outcome) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let at_us = since_epoch.expect("the clock is past 1970").as_micros() as u64;
        Self { outcome, at_us }
    }
}

fn outcome(answer: Option<&Answer>) -> Outcome {
    match answer {
        Some(answer) if answer.is_done() => Outcome::Acked,
        Some(answer) => match answer.code() {
            "BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "MOVED" | "MAXCONN" => Outcome::NotRun,
            _ => Outcome::Unknown,
        },
        None => Outcome::Unknown,
    }
}

/// Runs one caller until it is stopped. It writes its items in single statements and in
/// transactions, and reads its own item and its neighbour's. Returns the replies by the number of
/// the write.
pub fn run(index: usize, shared: &Shared) -> BTreeMap<u64, Reply> {
    let database = match index % 2 {
        0 => LATEST,
        _ => SESSION,
    };
    let mut replies = BTreeMap::new();
    let mut proxy = index % PROXIES;
    let mut caller = None;
    for number in 1.. {
        if shared.stop.load(Ordering::SeqCst) {
            break;
        }
        std::thread::sleep(Duration::from_millis(5));
        let Some(open) = caller.as_mut() else {
            proxy = (proxy + 1) % PROXIES;
            caller = Caller::open(&shared.address(proxy), database);
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        let in_transaction = number % 3 == 0;
        let (result, ended) = match in_transaction {
            true => write_in_transaction(open, index, number),
            false => {
                let answer = open.try_query(&format!("PUT own{index} {number}"));
                (outcome(answer.as_ref()), answer.is_none())
            }
        };
        replies.insert(number, Reply::now(result));
        shared.statements.fetch_add(1, Ordering::Relaxed);
        if result == Outcome::Unknown {
            let mut unknown = shared.unknown.lock().expect("lock is not poisoned");
            unknown.insert((index, number));
        }
        if result == Outcome::Acked {
            shared.acked[index].store(number, Ordering::SeqCst);
        }
        if ended || !check_reads(open, index, database, shared) {
            caller = None;
        }
    }
    replies
}

/// Writes two items in one transaction; returns the outcome and whether the connection has ended.
fn write_in_transaction(caller: &mut Caller, index: usize, number: u64) -> (Outcome, bool) {
    let begin = caller.try_query("BEGIN");
    if outcome(begin.as_ref()) != Outcome::Acked {
        // No write has been sent yet.
        return (Outcome::NotRun, begin.is_none());
    }
    for text in [
        format!("PUT own{index} {number}"),
        format!("PUT twin{index} {number}"),
    ] {
        let answer = caller.try_query(&text);
        if outcome(answer.as_ref()) != Outcome::Acked {
            // Without a COMMIT no write of the transaction may take effect, whatever the outcome of
            // this statement.
            let ended = answer.is_none() || caller.try_query("ROLLBACK").is_none();
            return (Outcome::NotRun, ended);
        }
    }
    let commit = caller.try_query("COMMIT");
    let open = commit.as_ref().is_some_and(|answer| answer.state != "I");
    let ended = commit.is_none() || (open && caller.try_query("ROLLBACK").is_none());
    (outcome(commit.as_ref()), ended)
}

/// Reads the caller's own item and, on a database with linearizable reads, its neighbour's, and
/// reports stale reads. Returns `false` if the connection has ended.
fn check_reads(caller: &mut Caller, index: usize, database: &str, shared: &Shared) -> bool {
    let neighbour = (index + 1) % CALLERS;
    let items = match database {
        LATEST => vec![index, neighbour],
        _ => vec![index],
    };
    for item in items {
        let at_least = shared.acked[item].load(Ordering::SeqCst);
        let Some(answer) = caller.try_query(&format!("FETCH own{item}")) else {
            return false;
        };
        shared.statements.fetch_add(1, Ordering::Relaxed);
        if !answer.is_done() {
            continue;
        }
        let seen = answer
            .rows
            .first()
            .and_then(|row| row.parse().ok())
            .unwrap_or(0);
        let own_session = item == index && database == SESSION;
        let stale = seen < at_least && !shared.may_apply_late(item, seen);
        if stale && (database == LATEST || own_session) {
            shared.report_violation(format!(
                "caller {index} read {seen} of own{item} after {at_least} was acknowledged: {answer:?}"
            ));
        }
    }
    true
}
