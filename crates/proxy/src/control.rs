//! The control side of the proxy: watches the configuration bundle and the primary records in
//! the key-value store (KV), polls the status of the backend servers, replaces failed primaries,
//! and publishes a [`View`] to the traffic threads.
//!
//! All control state lives on one thread with its own runtime; traffic threads only read the
//! published views (`docs/DESIGN.md`, "Threads"). Network I/O runs in separate tasks on that
//! thread, which send their results as [`Message`]s.

pub mod assignment;
mod attempt;
pub mod backoff;
pub mod decision;
mod evidence;
pub mod failover;
mod groups;
mod heartbeat;
mod kv_watch;
mod probe;
mod vms;
pub mod voters;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use dandelionpitch_core::{
    bundle::Bundle,
    hash::{Map, Set},
    kv,
};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use self::{
    assignment::{Member, Roster},
    attempt::{Attempt, Outcome},
    failover::Coordinator,
    probe::Probe,
};
use crate::{
    config::Config,
    metrics::Metrics,
    view::{Group, Server, Status, StoredRecord, View},
};

/// How often the state of all groups is evaluated.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
const QUEUE_CAPACITY: usize = 256;

/// A result that a control task sends to the control loop.
#[derive(Debug)]
pub enum Message {
    /// A bundle read from the KV, which may be older than the applied one.
    Bundle(Bundle),
    /// A group's primary record read from the KV.
    Record { group: String, stored: StoredRecord },
    /// The KV was restored from a backup, which starts a new era of its revisions.
    Restored { era: u64 },
    /// A group's primary record in the KV cannot be parsed.
    UnreadableRecord { group: String },
    /// The complete list of live proxies.
    Members(Vec<Member>),
    /// A proxy joined (`present`) or left.
    Member { member: Member, present: bool },
    /// The complete list of leaving servers, which are about to be stopped.
    Leaving(Vec<SocketAddr>),
    /// A server's status requested at `asked_at`, or `None` if the server did not report it in time.
    Status {
        address: SocketAddr,
        asked_at: Instant,
        status: Option<Status>,
    },
    /// A failover attempt on a group finished.
    AttemptFinished {
        group: String,
        result: Result<Outcome, attempt::Error>,
    },
}

/// The bound listen addresses of this process.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub listen: SocketAddr,
    pub operator: SocketAddr,
}

/// Starts the control thread; it runs until the process ends.
pub fn spawn(
    config: Config,
    addresses: Addresses,
    metrics: Metrics,
    publish: watch::Sender<Arc<View>>,
) {
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("the control runtime starts");
            runtime.block_on(run(config, addresses, metrics, publish));
        })
        .expect("the control thread starts");
}

async fn run(
    config: Config,
    addresses: Addresses,
    metrics: Metrics,
    publish: watch::Sender<Arc<View>>,
) {
    let kv = kv::Client::new(&config.kv);
    let (tx, mut rx) = mpsc::channel(QUEUE_CAPACITY);
    let salt = backoff::stable_hash(&config.id);
    tokio::spawn(kv_watch::run(kv.clone(), salt, tx.clone()));
    if let Some(url) = &config.vms {
        tokio::spawn(vms::run(url.clone(), tx.clone()));
    }
    let record = heartbeat::Record {
        id: config.id.clone(),
        dc: config.dc.clone(),
        listen: addresses.listen,
        operator: addresses.operator,
    };
    tokio::spawn(heartbeat::run(kv.clone(), record));
    let mut control = Control {
        coordinator: Coordinator::new(config.clone(), kv),
        config,
        metrics,
        publish,
        tx,
        bundle: None,
        groups: Map::default(),
        records: Map::default(),
        unreadable: Set::default(),
        probes: Map::default(),
        leaving: Vec::new(),
        members: Roster::default(),
        leaders: Map::default(),
        attempts: Set::default(),
    };
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(message) = rx.recv() => match control.handle(message) {
                Change::Unchanged => {}
                Change::Routing => control.publish(),
            },
            _ = tick.tick() => {
                if control.members.expire(Instant::now()) {
                    control.assign();
                    control.publish();
                }
                control.start_failovers();
            }
        }
    }
}

/// The last known primary of a group.
#[derive(Clone, Copy, Debug)]
pub struct Leader {
    pub server: SocketAddr,
    /// When this proxy first saw it as primary.
    pub since: Instant,
}

/// Whether a message changed data that requests are routed by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// Unchanged, or only positions and lags, which sessions read without a new [`View`].
    Unchanged,
    /// A primary, the set of servers or proxies, or the bundle changed, so a new [`View`] must be
    /// published.
    Routing,
}

struct Control {
    config: Config,
    metrics: Metrics,
    publish: watch::Sender<Arc<View>>,
    tx: mpsc::Sender<Message>,
    bundle: Option<Arc<Bundle>>,
    groups: Map<String, Group>,
    /// The primary records by group. A record can arrive before the bundle that lists its group.
    records: Map<String, StoredRecord>,
    /// The groups whose primary records cannot be parsed.
    unreadable: Set<String>,
    probes: Map<SocketAddr, Probe>,
    /// The live proxies, as known from the KV.
    members: Roster,
    /// The leaving servers of all groups.
    leaving: Vec<SocketAddr>,
    /// The last known primary by group.
    leaders: Map<String, Leader>,
    coordinator: Coordinator,
    /// The groups with a failover attempt in progress.
    attempts: Set<String>,
}

impl Control {
    fn handle(&mut self, message: Message) -> Change {
        match message {
            Message::Bundle(bundle) => self.apply_bundle(bundle),
            Message::Record { group, stored } => self.apply_record(group, stored),
            Message::Restored { era } => self.handle_restore(era),
            Message::UnreadableRecord { group } => self.mark_unreadable(group),
            Message::Members(members) => {
                self.members.replace(members, Instant::now());
                self.assign()
            }
            Message::Member { member, present } => {
                match present {
                    true => self.members.add(member),
                    false => self.members.remove(&member),
                }
                self.assign()
            }
            Message::Leaving(servers) => self.mark_leaving(servers),
            Message::Status {
                address,
                asked_at,
                status,
            } => self.update_status(address, asked_at, status),
            Message::AttemptFinished { group, result } => self.finish_attempt(&group, result),
        }
    }

    /// Polls all servers of `group` without waiting for the next period.
    fn probe_now(&self, group: &str) {
        let servers = self.groups.get(group).into_iter().flat_map(|g| &g.servers);
        for server in servers {
            if let Some(probe) = self.probes.get(&server.address) {
                probe.read_now();
            }
        }
    }

    /// Stores a server's status in every watched group that contains the server.
    fn update_status(
        &mut self,
        address: SocketAddr,
        asked_at: Instant,
        status: Option<Status>,
    ) -> Change {
        let mut change = Change::Unchanged;
        for group in self.groups.values_mut() {
            if !group.watched {
                continue;
            }
            for server in group.servers.iter_mut().filter(|s| s.address == address) {
                let old = match status {
                    Some(_) => server.status.set(status),
                    None => server.status.set_failed(asked_at),
                };
                let leadership = |status: Option<Status>| status.map(|s| (s.role, s.term));
                if leadership(old) != leadership(status) {
                    change = Change::Routing;
                }
                if old.is_some() && status.is_none() {
                    close_idle(server);
                }
            }
        }
        if change == Change::Routing {
            self.update_leaders();
        }
        change
    }

    /// Records each group's current primary, and cancels in-flight statements on a replaced one.
    ///
    /// A partitioned old primary cannot acknowledge a commit any more, so its callers get
    /// "outcome unknown" at once instead of waiting for their timeout.
    fn update_leaders(&mut self) {
        let now = Instant::now();
        for (name, group) in &mut self.groups {
            let Some(index) = group.leader(now) else {
                continue;
            };
            let leader = group.servers[index].address;
            let known = self.leaders.get(name).map(|known| known.server);
            if known == Some(leader) {
                continue;
            }
            let current = Leader {
                server: leader,
                since: now,
            };
            self.leaders.insert(name.clone(), current);
            let Some(old) = known else {
                continue;
            };
            log::info!(target: "control", "Primary of group {name} is now {leader} (was {old}).");
            for server in group.servers.iter_mut().filter(|s| s.address == old) {
                server.superseded.cancel();
                server.superseded = CancellationToken::new();
            }
        }
    }

    fn publish(&self) {
        let _ = self.publish.send(Arc::new(View {
            bundle: self.bundle.clone(),
            members: self.members.len(),
            groups: self.groups.clone(),
        }));
    }

    /// Evaluates every watched group and starts the failover attempts that are due.
    fn start_failovers(&mut self) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let now = Instant::now();
        for (name, group) in &self.groups {
            if !group.watched || self.attempts.contains(name) {
                continue;
            }
            let Some(listed) = bundle.groups.get(name) else {
                continue;
            };
            let leader = self.leaders.get(name).copied();
            if let Some(attempt) = self.coordinator.next_attempt(listed, group, leader, now) {
                self.attempts.insert(name.clone());
                tokio::spawn(report(attempt, self.tx.clone()));
            }
        }
    }

    fn finish_attempt(&mut self, group: &str, result: Result<Outcome, attempt::Error>) -> Change {
        self.attempts.remove(group);
        self.coordinator
            .note_attempt(group, result.is_ok(), Instant::now());
        self.probe_now(group);
        match result {
            Ok(outcome) if outcome.promoted => {
                self.metrics.promotion();
                let Outcome { term, server, .. } = outcome;
                log::info!(target: "failover", "Promoted {server} to primary of group {group} at term {term}.");
            }
            Ok(outcome) => {
                log::info!(target: "failover", "Recorded the primary of group {group} at term {}.", outcome.term)
            }
            Err(error) => {
                log::warn!(target: "failover", "Failover attempt on group {group} failed: {error}.")
            }
        }
        Change::Unchanged
    }
}

/// Closes the idle pooled connections to a server whose status could not be read.
///
/// A network device may have dropped all established connections without closing them. The next
/// status read opens a new one and succeeds, but a request on a pooled one would time out.
fn close_idle(server: &Server) {
    let dropped = server.pool.retain(|_, _| false).removed.len();
    if dropped > 0 {
        let address = server.address;
        log::info!(target: "control", "Closed {dropped} idle connections to unresponsive server {address}.");
    }
}

async fn report(attempt: Attempt, tx: mpsc::Sender<Message>) {
    let group = attempt.group().to_owned();
    let result = attempt.run().await;
    let _ = tx.send(Message::AttemptFinished { group, result }).await;
}
