//! Structured logging to standard output, rate-limited and never blocking (`docs/OPERATIONS.md`).
//!
//! Lines are JSON objects. They pass through a bounded queue to a writer thread. A line is dropped
//! if the queue is full or if its kind has exceeded its rate limit. The next line of a rate-limited
//! kind reports in `left_out` how many were dropped.

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

const QUEUE_CAPACITY: usize = 1_000;

/// The rate limit of each kind: 20 kinds at this rate are below 100 KB a second.
const MAX_LINES_PER_SECOND: u32 = 20;

/// How long a stopping process waits for queued lines to be written.
const FLUSH_WAIT: Duration = Duration::from_millis(100);

/// The number of lines dropped because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// The rate limit of one kind.
struct RateLimit {
    window_start: Instant,
    used: u32,
    suppressed: u64,
}

struct Journal {
    queue: SyncSender<String>,
    kinds: Mutex<Map<&'static str, RateLimit>>,
    /// Taken by the writer thread when it starts.
    lines: Mutex<Option<Receiver<String>>>,
}

fn journal() -> &'static Journal {
    static JOURNAL: OnceLock<Journal> = OnceLock::new();
    JOURNAL.get_or_init(|| {
        let (queue, lines) = sync_channel(QUEUE_CAPACITY);
        Journal {
            queue,
            kinds: Mutex::default(),
            lines: Mutex::new(Some(lines)),
        }
    })
}

/// Starts the writer thread. Earlier lines wait in the queue, so that the listening addresses, which
/// scripts read, are the first line on standard output.
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
        // Without the thread all lines are dropped, but traffic is served.
        log::error!(target: "journal", "Failed to start the log writer thread: {error}.");
    }
}

fn write_all(lines: &Receiver<String>) {
    while let Ok(line) = lines.recv() {
        let mut out = std::io::stdout().lock();
        // A closed standard output must not stop the process.
        let _ = out.write_all(line.as_bytes());
        for more in lines.try_iter().take(QUEUE_CAPACITY) {
            let _ = out.write_all(more.as_bytes());
        }
        let _ = out.flush();
    }
}

/// Logs a line of `kind` with `fields`, unless the kind has exceeded its rate limit.
pub fn write(kind: &'static str, fields: Value) {
    let journal = journal();
    let suppressed = {
        let Ok(mut kinds) = journal.kinds.lock() else {
            return;
        };
        let now = Instant::now();
        let limit = kinds.entry(kind).or_insert(RateLimit {
            window_start: now,
            used: 0,
            suppressed: 0,
        });
        if now.duration_since(limit.window_start) >= Duration::from_secs(1) {
            limit.window_start = now;
            limit.used = 0;
        }
        if limit.used >= MAX_LINES_PER_SECOND {
            limit.suppressed += 1;
            return;
        }
        limit.used += 1;
        std::mem::take(&mut limit.suppressed)
    };
    let mut line = json!({ "at_ms": super::clock::now().millis() as u64, "kind": kind });
    if let (Some(line), Value::Object(fields)) = (line.as_object_mut(), fields) {
        line.extend(fields);
        if suppressed > 0 {
            line.insert("left_out".to_owned(), suppressed.into());
        }
    }
    if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
        journal.queue.try_send(format!("{line}\n"))
    {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// The number of lines dropped because standard output was not read fast enough.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Logs the start or stop of the process.
pub fn process(what: &str, id: &str, listen: &str) {
    write(
        "process",
        json!({ "what": what, "id": id, "listen": listen }),
    );
}

/// Logs that a dependency was lost or is available again.
pub fn dependency(name: &str, state: &str, why: &str) {
    write(
        "dependency",
        json!({ "name": name, "state": state, "why": why }),
    );
}

/// Logs an error that does not stop the process.
pub fn trouble(what: &str, why: &str) {
    write("trouble", json!({ "what": what, "why": why }));
}

/// Gives the writer thread a short time to write queued lines before the process exits.
pub fn flush() {
    std::thread::sleep(FLUSH_WAIT);
}
