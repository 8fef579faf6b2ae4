//! The callers of a soak: they write and read without rest and note what they hear.

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

/// Callers; each writes an item of its own.
pub const CALLERS: usize = 8;

/// What the callers share.
pub struct Shared {
    listen: Mutex<Vec<String>>,
    stop: AtomicBool,
    /// The number of the last write of each item that its writer heard was kept.
    kept: Vec<AtomicU64>,
    /// Writes, by caller and number, that may take effect at any later time.
    unknown: Mutex<BTreeSet<(usize, u64)>>,
    broken: Mutex<Vec<String>>,
    statements: AtomicU64,
}

impl Shared {
    /// What callers of proxies at these addresses share.
    pub fn new(listen: Vec<String>) -> Self {
        Self {
            listen: Mutex::new(listen),
            stop: AtomicBool::new(false),
            kept: (0..CALLERS).map(|_| AtomicU64::new(0)).collect(),
            unknown: Mutex::default(),
            broken: Mutex::default(),
            statements: AtomicU64::new(0),
        }
    }

    /// Notes where a proxy listens after it has started again.
    pub fn moved(&self, proxy: usize, listen: String) {
        self.listen.lock().expect("no holder panics")[proxy] = listen;
    }

    /// Tells the callers to stop.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// What the callers found broken.
    pub fn broken(&self) -> Vec<String> {
        std::mem::take(&mut *self.broken.lock().expect("no holder panics"))
    }

    /// How many statements were sent.
    pub fn statements(&self) -> u64 {
        self.statements.load(Ordering::Relaxed)
    }

    /// The writes of unknown outcome, by caller and number.
    pub fn unknown(&self) -> BTreeSet<(usize, u64)> {
        self.unknown.lock().expect("no holder panics").clone()
    }

    fn address(&self, proxy: usize) -> String {
        self.listen.lock().expect("no holder panics")[proxy].clone()
    }

    fn may_come_late(&self, caller: usize, number: u64) -> bool {
        let unknown = self.unknown.lock().expect("no holder panics");
        unknown.contains(&(caller, number))
    }

    fn break_rule(&self, what: String) {
        self.broken.lock().expect("no holder panics").push(what);
    }
}

/// What became of a write, as its caller heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Kept,
    NotRun,
    Unknown,
}

/// What the caller of a write heard, and when, in Unix microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    pub outcome: Outcome,
    pub at_us: u64,
}

impl Heard {
    fn now(outcome: Outcome) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let at_us = since.expect("the clock is past 1970").as_micros() as u64;
        Self { outcome, at_us }
    }
}

fn outcome(answer: Option<&Answer>) -> Outcome {
    match answer {
        Some(answer) if answer.is_done() => Outcome::Kept,
        Some(answer) => match answer.code() {
            "BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "MOVED" | "MAXCONN" => Outcome::NotRun,
            _ => Outcome::Unknown,
        },
        None => Outcome::Unknown,
    }
}

/// One caller: writes its item alone and in transactions, reads its own and its neighbour's.
pub fn call(index: usize, shared: &Shared) -> BTreeMap<u64, Heard> {
    let database = match index % 2 {
        0 => LATEST,
        _ => SESSION,
    };
    let mut outcomes = BTreeMap::new();
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
        outcomes.insert(number, Heard::now(result));
        shared.statements.fetch_add(1, Ordering::Relaxed);
        if result == Outcome::Unknown {
            let mut unknown = shared.unknown.lock().expect("no holder panics");
            unknown.insert((index, number));
        }
        if result == Outcome::Kept {
            shared.kept[index].store(number, Ordering::SeqCst);
        }
        if ended || !read_back(open, index, database, shared) {
            caller = None;
        }
    }
    outcomes
}

/// Two writes that belong together; whether the connection ended.
fn write_in_transaction(caller: &mut Caller, index: usize, number: u64) -> (Outcome, bool) {
    let begin = caller.try_query("BEGIN");
    if outcome(begin.as_ref()) != Outcome::Kept {
        // Nothing was asked for yet.
        return (Outcome::NotRun, begin.is_none());
    }
    for text in [
        format!("PUT own{index} {number}"),
        format!("PUT twin{index} {number}"),
    ] {
        let answer = caller.try_query(&text);
        if outcome(answer.as_ref()) != Outcome::Kept {
            // Without its COMMIT nothing of it may be kept, whatever became of this statement.
            let ended = answer.is_none() || caller.try_query("ROLLBACK").is_none();
            return (Outcome::NotRun, ended);
        }
    }
    let commit = caller.try_query("COMMIT");
    let open = commit.as_ref().is_some_and(|answer| answer.state != "I");
    let ended = commit.is_none() || (open && caller.try_query("ROLLBACK").is_none());
    (outcome(commit.as_ref()), ended)
}

/// Reads the caller's own item and, where every commit must be seen, its neighbour's; `false` when the
/// connection has ended.
fn read_back(caller: &mut Caller, index: usize, database: &str, shared: &Shared) -> bool {
    let neighbour = (index + 1) % CALLERS;
    let items = match database {
        LATEST => vec![index, neighbour],
        _ => vec![index],
    };
    for item in items {
        let at_least = shared.kept[item].load(Ordering::SeqCst);
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
        let older = seen < at_least && !shared.may_come_late(item, seen);
        if older && (database == LATEST || own_session) {
            shared.break_rule(format!(
                "caller {index} read {seen} of own{item} after {at_least} was kept: {answer:?}"
            ));
        }
    }
    true
}
