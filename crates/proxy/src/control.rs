//! The control part of the proxy: follows the bundle and the primary records in the platform
//! KV, reads each backend server's status, replaces failed primaries, and publishes a [`View`]
//! to traffic.
//!
//! All control state lives on one thread with its own runtime; traffic threads only read the
//! published views (`docs/DESIGN.md`, "Threads"). Whatever waits for another machine runs as
//! a task of its own on that thread and reports back by [`Message`].

pub mod backoff;
pub mod counted;
pub mod duty;
pub mod failover;
mod follow;
mod groups;
mod heartbeat;
mod probe;
pub mod verdict;
mod vms;

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
    duty::{Member, Roster},
    failover::Watch,
    probe::Probe,
};
use crate::{
    config::Config,
    metrics::Metrics,
    view::{Group, Held, Server, Status, View},
};

/// How often the groups are judged.
const TICK: Duration = Duration::from_millis(25);
/// How many messages may wait for the control loop.
const QUEUE: usize = 256;

/// What a control task reports to the control loop.
#[derive(Debug)]
pub enum Message {
    /// A bundle from the KV; not necessarily a newer one.
    Bundle(Bundle),
    /// A group's primary record from the KV.
    Record { group: String, held: Held },
    /// The KV came back from a copy.
    Restored { era: u64 },
    /// A group's primary record in the KV cannot be read.
    Unreadable { group: String },
    /// All live proxies.
    Members(Vec<Member>),
    /// A proxy that has come or gone.
    Member { member: Member, present: bool },
    /// The servers that are leaving now.
    Leaving(Vec<SocketAddr>),
    /// A server's status, `None` when it could not be read.
    Status {
        address: SocketAddr,
        status: Option<Status>,
    },
    /// A failover attempt on a group has ended.
    Attempted {
        group: String,
        result: Result<failover::Outcome, failover::Error>,
    },
}

/// Where this process listens, once it does.
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
    let (out, mut messages) = mpsc::channel(QUEUE);
    let salt = backoff::stable_hash(&config.id);
    tokio::spawn(follow::run(kv.clone(), salt, out.clone()));
    if let Some(url) = &config.vms {
        tokio::spawn(vms::run(url.clone(), out.clone()));
    }
    let record = heartbeat::Record {
        id: config.id.clone(),
        dc: config.dc.clone(),
        listen: addresses.listen,
        operator: addresses.operator,
    };
    tokio::spawn(heartbeat::run(kv.clone(), record));
    let mut control = Control {
        watch: Watch::new(config.clone(), kv),
        config,
        metrics,
        publish,
        out,
        bundle: None,
        groups: Map::default(),
        records: Map::default(),
        unreadable: Set::default(),
        probes: Map::default(),
        leaving: Vec::new(),
        members: Roster::default(),
        led_by: Map::default(),
        attempts: Set::default(),
    };
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(message) = messages.recv() => match control.take(message) {
                Change::Nothing => {}
                Change::Routing => control.publish(),
            },
            _ = tick.tick() => {
                if control.members.expire(Instant::now()) {
                    control.assign();
                    control.publish();
                }
                control.judge();
            }
        }
    }
}

/// The last known primary of a group.
#[derive(Clone, Copy, Debug)]
pub struct Leader {
    pub server: SocketAddr,
    /// When this proxy first saw it lead.
    pub since: Instant,
}

/// Whether a message changed what traffic goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// No, or only positions and lags, which traffic reads as they are.
    Nothing,
    /// Who leads, who is there, or the bundle: published at once.
    Routing,
}

struct Control {
    config: Config,
    metrics: Metrics,
    publish: watch::Sender<Arc<View>>,
    out: mpsc::Sender<Message>,
    bundle: Option<Arc<Bundle>>,
    groups: Map<String, Group>,
    /// The primary records by group; kept apart from the groups, which come with the bundle.
    records: Map<String, Held>,
    /// The groups whose records could not be read.
    unreadable: Set<String>,
    probes: Map<SocketAddr, Probe>,
    /// The live proxies, as far as the KV has told.
    members: Roster,
    /// The servers that are leaving, whatever group lists them.
    leaving: Vec<SocketAddr>,
    /// The last known primary of each group.
    led_by: Map<String, Leader>,
    watch: Watch,
    /// The groups with a failover attempt under way.
    attempts: Set<String>,
}

impl Control {
    fn take(&mut self, message: Message) -> Change {
        match message {
            Message::Bundle(bundle) => self.apply(bundle),
            Message::Record { group, held } => self.hold(group, held),
            Message::Restored { era } => self.restore(era),
            Message::Unreadable { group } => self.pass_over(group),
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
            Message::Leaving(servers) => self.leave(servers),
            Message::Status { address, status } => self.note(address, status),
            Message::Attempted { group, result } => self.attempted(&group, result),
        }
    }

    fn hurry(&self, group: &str) {
        let servers = self.groups.get(group).into_iter().flat_map(|g| &g.servers);
        for server in servers {
            if let Some(probe) = self.probes.get(&server.address) {
                probe.hurry();
            }
        }
    }

    /// Notes a server's status in every group that lists it.
    fn note(&mut self, address: SocketAddr, status: Option<Status>) -> Change {
        let mut change = Change::Nothing;
        for group in self.groups.values_mut() {
            if !group.watched {
                continue;
            }
            for server in group.servers.iter_mut().filter(|s| s.address == address) {
                let old = server.status.set(status);
                let lead = |status: Option<Status>| status.map(|s| (s.role, s.term));
                if lead(old) != lead(status) {
                    change = Change::Routing;
                }
                if old.is_some() && status.is_none() {
                    drop_idle(server);
                }
            }
        }
        if change == Change::Routing {
            self.supersede();
        }
        change
    }

    /// Where a group has a new primary, cancels what is under way on the old one.
    ///
    /// Failure: a statement sent to a primary that was cut off would wait for its answer until
    /// the caller's timeout, though it is known that no commit there can be acknowledged any
    /// more. Guard: it gets "outcome unknown" as soon as the successor is seen.
    fn supersede(&mut self) {
        let now = Instant::now();
        for (name, group) in &mut self.groups {
            let Some(index) = group.leader(now) else {
                continue;
            };
            let leader = group.servers[index].address;
            let known = self.led_by.get(name).map(|known| known.server);
            if known == Some(leader) {
                continue;
            }
            let since = Leader {
                server: leader,
                since: now,
            };
            self.led_by.insert(name.clone(), since);
            let Some(old) = known else {
                continue;
            };
            log::info!(target: "control", "Group {name} is led by {leader} (was {old}).");
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

    /// Judges every group and starts the failover attempts that are due.
    fn judge(&mut self) {
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
            let led_by = self.led_by.get(name).copied();
            if let Some(attempt) = self.watch.observe(listed, group, led_by, now) {
                self.attempts.insert(name.clone());
                tokio::spawn(report(attempt, self.out.clone()));
            }
        }
    }

    fn attempted(
        &mut self,
        group: &str,
        result: Result<failover::Outcome, failover::Error>,
    ) -> Change {
        self.attempts.remove(group);
        self.watch.attempted(group, result.is_ok(), Instant::now());
        self.hurry(group);
        match result {
            Ok(outcome) if outcome.promoted => {
                self.metrics.promotion();
                let failover::Outcome { term, server, .. } = outcome;
                log::info!(target: "failover", "Promoted {server} of group {group} at term {term}.");
            }
            Ok(outcome) => {
                log::info!(target: "failover", "Recorded term {} of group {group}.", outcome.term)
            }
            Err(error) => {
                log::warn!(target: "failover", "Group {group} keeps its primary: {error}.")
            }
        }
        Change::Nothing
    }
}

/// Closes the idle pooled connections to a server that has stopped answering status reads.
///
/// Failure: something on the way lost track of all connections to the server; the status read
/// opens a new one and finds it well, but each pooled one costs a caller its whole timeout.
/// Guard: what was idle when the old status connection fell silent is not used again.
fn drop_idle(server: &Server) {
    let dropped = server.pool.retain(|_, _| false).removed.len();
    if dropped > 0 {
        let address = server.address;
        log::info!(target: "control", "Dropped {dropped} idle connections to {address}.");
    }
}

async fn report(attempt: failover::Attempt, out: mpsc::Sender<Message>) {
    let group = attempt.group().to_owned();
    let result = attempt.run().await;
    let _ = out.send(Message::Attempted { group, result }).await;
}
