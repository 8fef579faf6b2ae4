//! Failover: decides when to replace a primary, and replaces it.
//!
//! An attempt claims the next term in the key-value store (KV) by compare-and-swap, fences a
//! quorum of servers at that term, promotes the most advanced of them, and records the new
//! primary. No lease is needed: a claimant that was paused is refused by servers that have
//! accepted a later term (`docs/DESIGN.md`, "Failover").

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use dandelionpitch_core::{
    bundle,
    hash::Map,
    keys,
    kv::{self, Swap},
    position::Position,
    primary::Record,
};
use derive_more::{Display, Error, From};
use futures::{stream::FuturesUnordered, StreamExt};
use tokio_postgres::Client;

use super::{
    backoff::{self, Backoff},
    decision::{self, Decision, Limits},
    voters::{History, Voters},
    Leader,
};
use crate::{backend, config::Config, view};

/// Why a failover attempt failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// Another proxy changed the group's record first.
    #[display("another proxy changed the primary record first")]
    Conflict,
    /// The KV failed.
    Kv(dandelionpitch_core::Error),
    /// Fewer servers than the quorum accepted the new term.
    #[display("only {confirmed} of {quorum} required servers accepted term {term}")]
    #[from(ignore)]
    NoQuorum {
        confirmed: usize,
        quorum: usize,
        term: u64,
    },
    /// The candidate could not be promoted.
    #[display("could not promote {server}: {source}")]
    #[from(ignore)]
    Promote {
        server: SocketAddr,
        source: backend::Error,
    },
}

#[derive(Clone, Copy, Debug)]
enum Task {
    /// Promotes a server, not counting the fenced `suspect` towards the quorum.
    Replace { suspect: Option<SocketAddr> },
    /// Only writes the record of the current primary.
    Record { term: u64, server: SocketAddr },
}

/// The result of a successful attempt.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub term: u64,
    pub server: SocketAddr,
    /// Whether a server was promoted; otherwise only the record was written.
    pub promoted: bool,
}

/// One failover attempt on one group, to be run in a task of its own.
#[derive(Debug)]
pub struct Attempt {
    task: Task,
    group: String,
    servers: Vec<SocketAddr>,
    /// The servers that are about to stop or were removed from the bundle.
    leaving: Vec<SocketAddr>,
    /// The last seen log of each server.
    histories: Map<SocketAddr, History>,
    /// The servers that count for the quorum, listed in the bundle or not; they are written to the
    /// record.
    members: Vec<SocketAddr>,
    quorum: usize,
    /// The highest term in the record or on any server.
    highest_term: u64,
    /// The expected revision of the record; zero if there is none.
    revision: u64,
    config: Config,
    kv: kv::Client,
}

/// The first and the longest delay between failed attempts.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// The failover state of one group.
#[derive(Debug)]
struct Monitor {
    decision: Decision,
    /// When the decision last changed, or the last attempt finished.
    since: Instant,
    backoff: Backoff,
    not_before: Instant,
    voters: Voters,
}

/// Decides, for all groups, when this proxy starts failover attempts.
#[derive(Debug)]
pub struct Coordinator {
    config: Config,
    kv: kv::Client,
    groups: Map<String, Monitor>,
}

impl Coordinator {
    /// Creates a coordinator without any group state.
    pub fn new(config: Config, kv: kv::Client) -> Self {
        Self {
            config,
            kv,
            groups: Map::default(),
        }
    }

    /// Evaluates one group and returns a failover attempt if one is due.
    pub fn next_attempt(
        &mut self,
        group: &bundle::Group,
        view: &view::Group,
        last_leader: Option<Leader>,
        now: Instant,
    ) -> Option<Attempt> {
        let monitor = self.monitor_mut(&group.name, now);
        monitor.voters.update(view, now);
        let quorum = monitor.voters.quorum(group.sync_replicas)?;
        let outdated = monitor.voters.outdated_record(view);
        let unrecorded_voter = monitor.voters.record_lacks_voter(view);
        let max_silence = self.config.failover.after;
        let limits = Limits {
            quorum,
            max_silence,
            grace: max_silence + 2 * self.config.backend.status_every,
        };
        let decision = decision::evaluate(view, last_leader.map(|l| l.since), limits, now);
        let decision = match (decision, outdated) {
            (Decision::Healthy, Some((term, server))) => Decision::Unrecorded { term, server },
            _ => decision,
        };
        let delay = self.delay(&group.name, decision, unrecorded_voter);
        let monitor = self.monitor_mut(&group.name, now);
        if monitor.decision != decision {
            monitor.decision = decision;
            monitor.since = now;
        }
        if now < monitor.since + delay || now < monitor.not_before {
            return None;
        }
        let task = match decision {
            Decision::Healthy | Decision::Undecided => return None,
            Decision::Failed | Decision::Leaving => Task::Replace {
                suspect: last_leader.map(|l| l.server),
            },
            Decision::StaleTerm => Task::Replace { suspect: None },
            Decision::Unrecorded { term, server } => Task::Record { term, server },
        };
        let voters = &self.groups[&group.name].voters;
        Some(self.attempt(task, group, view, voters, quorum, now))
    }

    /// Records the result of an attempt on `group`, which determines when the next one may start.
    pub fn note_attempt(&mut self, group: &str, success: bool, now: Instant) {
        let monitor = self.monitor_mut(group, now);
        monitor.since = now;
        match success {
            true => monitor.backoff.reset(),
            false => monitor.not_before = now + monitor.backoff.next_delay(),
        }
    }

    fn monitor_mut(&mut self, group: &str, now: Instant) -> &mut Monitor {
        let salt = backoff::stable_hash(&self.config.id);
        self.groups
            .entry(group.to_owned())
            .or_insert_with(|| Monitor {
                decision: Decision::Healthy,
                since: now,
                backoff: Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1, salt),
                not_before: now,
                voters: Voters::new(now),
            })
    }

    /// How long a decision must be stable before this proxy acts on it.
    ///
    /// A record that lacks a voter is written without delay: until then, a proxy that starts after
    /// the voter is removed from the bundle does not know of it.
    fn delay(&self, group: &str, decision: Decision, unrecorded_voter: bool) -> Duration {
        let fraction = backoff::stable_fraction(&(&self.config.id, group));
        let spread = self.config.failover.spread.mul_f64(fraction);
        match decision {
            Decision::Healthy | Decision::Undecided | Decision::Failed | Decision::Leaving => {
                spread
            }
            Decision::Unrecorded { .. } if unrecorded_voter => Duration::ZERO,
            Decision::StaleTerm | Decision::Unrecorded { .. } => {
                self.config.failover.claim_limit + spread
            }
        }
    }

    fn attempt(
        &self,
        task: Task,
        group: &bundle::Group,
        view: &view::Group,
        voters: &Voters,
        quorum: usize,
        now: Instant,
    ) -> Attempt {
        let on_servers = view.fresh_statuses(now).map(|(_, s)| s.term).max();
        let in_record = view.stored.as_ref().map(|stored| stored.record.term);
        let leaving = view.servers.iter().filter(|server| server.leaving);
        Attempt {
            task,
            group: group.name.clone(),
            servers: view.servers.iter().map(|server| server.address).collect(),
            leaving: leaving.map(|server| server.address).collect(),
            histories: voters.histories().clone(),
            members: voters.addresses(),
            quorum,
            highest_term: on_servers.max(in_record).unwrap_or_default(),
            revision: view.stored.as_ref().map_or(0, |stored| stored.revision),
            config: self.config.clone(),
            kv: self.kv.clone(),
        }
    }
}

/// A server that accepted the new term and refuses earlier ones.
struct Fenced {
    server: SocketAddr,
    client: Client,
    log_id: u64,
    received: Position,
}

impl Attempt {
    /// The name of the group.
    pub fn group(&self) -> &str {
        &self.group
    }

    /// Runs the attempt to completion.
    pub async fn run(self) -> Result<Outcome, Error> {
        match self.task {
            Task::Replace { suspect } => self.replace(suspect).await,
            Task::Record { term, server } => {
                self.write(self.record(term, Some(server)), self.revision)
                    .await?;
                Ok(Outcome {
                    term,
                    server,
                    promoted: false,
                })
            }
        }
    }

    async fn replace(&self, suspect: Option<SocketAddr>) -> Result<Outcome, Error> {
        let term = self.highest_term + 1;
        let claim = self.write(self.record(term, None), self.revision).await?;
        log::info!(target: "failover", "Claimed term {term} of group {}.", self.group);
        let fenced = self.fence(term, suspect).await?;
        let server = self.promote(term, fenced).await?;
        let recorded = self.write(self.record(term, Some(server)), claim).await;
        if let Err(error) = recorded {
            log::warn!(target: "failover", "Could not record the new primary of group {} at term {term}: {error}.", self.group);
        }
        Ok(Outcome {
            term,
            server,
            promoted: true,
        })
    }

    fn record(&self, term: u64, server: Option<SocketAddr>) -> Record {
        Record {
            term,
            server,
            claimant: self.config.id.clone(),
            members: self.members.clone(),
        }
    }

    /// Replaces the group's record if it is still at `revision`; returns the new revision.
    ///
    /// After a KV error the write may still have been applied, so the record is read back. It names
    /// its claimant, so it equals ours only if this proxy owns the term; two proxies never own the
    /// same one.
    async fn write(&self, record: Record, revision: u64) -> Result<u64, Error> {
        let key = keys::primary(&self.group);
        let failure = match self.kv.put_if(&key, &record.to_value(), revision).await {
            Ok(Swap::Done { revision }) => return Ok(revision),
            Ok(Swap::Conflict) => return Err(Error::Conflict),
            Err(error) => error,
        };
        match self.kv.get(&key).await? {
            Some(now) if Record::parse(&now.value)? == record => Ok(now.mod_revision),
            _ => Err(Error::Kv(failure)),
        }
    }

    /// Fences all servers at `term`; returns once a quorum without the suspect has accepted it.
    ///
    /// The suspect is fenced so that it steps down if it is reachable. It is not a candidate: it
    /// may have the longest log and yet reach no replica.
    async fn fence(&self, term: u64, suspect: Option<SocketAddr>) -> Result<Vec<Fenced>, Error> {
        let mut calls: FuturesUnordered<_> = self
            .servers
            .iter()
            .map(|&server| tokio::spawn(fence_server(self.options(server), server, term)))
            .collect();
        let mut fenced = Vec::new();
        while let Some(answer) = calls.next().await {
            let Ok(Some(reply)) = answer else { continue };
            if Some(reply.server) == suspect {
                continue;
            }
            if self.has_lost_log(&reply) {
                log::warn!(target: "failover", "{} has lost its log and does not count for the quorum.", reply.server);
                continue;
            }
            fenced.push(reply);
            if fenced.len() >= self.quorum {
                return Ok(fenced);
            }
        }
        Err(Error::NoQuorum {
            confirmed: fenced.len(),
            quorum: self.quorum,
            term,
        })
    }

    /// Whether a server has another log than last seen, or a shorter one.
    fn has_lost_log(&self, fenced: &Fenced) -> bool {
        let history = self.histories.get(&fenced.server);
        history.is_some_and(|history| !history.is_continued_by(fenced.log_id, fenced.received))
    }

    /// Promotes the most advanced of the fenced servers, among equals one that is not leaving. A
    /// server removed from the bundle may be the only one with a commit; it is then primary until
    /// others have caught up.
    async fn promote(&self, term: u64, fenced: Vec<Fenced>) -> Result<SocketAddr, Error> {
        let best = fenced
            .into_iter()
            .max_by_key(|fenced| {
                let stays = !self.leaving.contains(&fenced.server);
                (fenced.received, stays, fenced.server)
            })
            .expect("a quorum has at least one server");
        let limit = self.config.failover.step_timeout;
        match backend::promote(&best.client, term, limit).await {
            Ok(_) => Ok(best.server),
            Err(source) => Err(Error::Promote {
                server: best.server,
                source,
            }),
        }
    }

    fn options(&self, server: SocketAddr) -> (tokio_postgres::Config, Duration) {
        let options = backend::options(server, &self.group, &self.config);
        (options, self.config.failover.step_timeout)
    }
}

async fn fence_server(
    (options, limit): (tokio_postgres::Config, Duration),
    server: SocketAddr,
    term: u64,
) -> Option<Fenced> {
    let client = backend::connect(&options, limit).await.ok()?;
    match backend::fence(&client, term, limit).await {
        Ok((log_id, received)) => Some(Fenced {
            server,
            client,
            log_id,
            received,
        }),
        Err(error) => {
            log::warn!(target: "failover", "{server} did not accept term {term}: {error}.");
            None
        }
    }
}
