//! Structured log lines on standard output, bounded and never blocking (`docs/OPERATIONS.md`).
//!
//! Lines are JSON objects. They go through a bounded queue to a thread of their own; a line that
//! finds the queue full, or its kind's allowance used up, is counted and left out, and the count
//! is written with the next line of that kind.

use std::{
    io::Write,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{sync_channel, Receiver, SyncSender, TrySendError},
        Mutex, OnceLock,
    },
    time::{Duration, Instant},
};

use dandelionpitch_core::hash::Map;
use serde_json::{json, Value};

/// Lines that may wait for standard output: some 200 KB.
const QUEUE: usize = 1_000;

/// Lines of one kind a second. 20 kinds at this rate are below 100 KB a second.
const PER_SECOND: u32 = 20;

/// How long a stopping process waits for the lines that are left.
const FLUSH_LIMIT: Duration = Duration::from_millis(100);

/// Lines left out because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

struct Allowance {
    second: Instant,
    used: u32,
    left_out: u64,
}

struct Journal {
    queue: SyncSender<String>,
    kinds: Mutex<Map<&'static str, Allowance>>,
    /// Taken by the writing thread.
    lines: Mutex<Option<Receiver<String>>>,
}

fn journal() -> &'static Journal {
    static JOURNAL: OnceLock<Journal> = OnceLock::new();
    JOURNAL.get_or_init(|| {
        let (queue, lines) = sync_channel(QUEUE);
        Journal {
            queue,
            kinds: Mutex::default(),
            lines: Mutex::new(Some(lines)),
        }
    })
}

/// Starts writing; lines from before wait in the queue, so that the addresses, which scripts read,
/// are the first line on standard output.
pub fn start() {
    let Some(lines) = journal()
        .lines
        .lock()
        .ok()
        .and_then(|mut lines| lines.take())
    else {
        return;
    };
    let spawned = std::thread::Builder::new()
        .name("journal".to_owned())
        .spawn(move || write_all(&lines));
    if let Err(error) = spawned {
        // Without the thread lines are dropped and counted; traffic goes on.
        log::error!(target: "journal", "No thread for the log lines: {error}.");
    }
}

fn write_all(lines: &Receiver<String>) {
    while let Ok(line) = lines.recv() {
        let mut out = std::io::stdout().lock();
        // A reader that has gone away must not end the process.
        let _ = out.write_all(line.as_bytes());
        for more in lines.try_iter().take(QUEUE) {
            let _ = out.write_all(more.as_bytes());
        }
        let _ = out.flush();
    }
}

/// Writes a line of `kind` with `fields`, unless the kind's allowance is used up.
pub fn write(kind: &'static str, fields: Value) {
    let journal = journal();
    let left_out = {
        let Ok(mut kinds) = journal.kinds.lock() else {
            return;
        };
        let now = Instant::now();
        let allowance = kinds.entry(kind).or_insert(Allowance {
            second: now,
            used: 0,
            left_out: 0,
        });
        if now.duration_since(allowance.second) >= Duration::from_secs(1) {
            allowance.second = now;
            allowance.used = 0;
        }
        if allowance.used >= PER_SECOND {
            allowance.left_out += 1;
            return;
        }
        allowance.used += 1;
        std::mem::take(&mut allowance.left_out)
    };
    let mut line = json!({ "at_ms": super::clock::now().millis() as u64, "kind": kind });
    if let (Some(line), Value::Object(fields)) = (line.as_object_mut(), fields) {
        line.extend(fields);
        if left_out > 0 {
            line.insert("left_out".to_owned(), left_out.into());
        }
    }
    if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
        journal.queue.try_send(format!("{line}\n"))
    {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// How many lines were left out because standard output was not read.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// One line at the start and the stop of the process.
pub fn process(what: &str, id: &str, listen: &str) {
    write(
        "process",
        json!({ "what": what, "id": id, "listen": listen }),
    );
}

/// A dependency lost or regained.
pub fn dependency(name: &str, state: &str, why: &str) {
    write(
        "dependency",
        json!({ "name": name, "state": state, "why": why }),
    );
}

/// Something that failed and was passed over.
pub fn trouble(what: &str, why: &str) {
    write("trouble", json!({ "what": what, "why": why }));
}

/// Gives the writer a moment before the process ends.
pub fn flush() {
    std::thread::sleep(FLUSH_LIMIT);
}
