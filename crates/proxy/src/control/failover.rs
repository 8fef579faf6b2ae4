//! The failover role: decides when to replace a primary, and replaces it.
//!
//! One attempt claims the next term in the platform KV by compare-and-swap, makes a quorum of
//! servers hold that term, promotes the most advanced of them, and writes down which it was.
//! There is no lease to lapse: a claimant that was paused finds its servers hold a later term
//! and refuse it (`docs/DESIGN.md`, "Failover").

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
    counted::{Counted, Life},
    verdict::{self, Limits, Verdict},
    Leader,
};
use crate::{backend, config::Config, view};

/// Why an attempt did not replace the primary.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// Another proxy changed the group's record first.
    #[display("another proxy was first")]
    Moved,
    /// The platform KV failed.
    Kv(dandelionpitch_core::Error),
    /// Fewer servers than the quorum hold the new term.
    #[display("only {held} of {quorum} servers hold term {term}")]
    #[from(ignore)]
    Quorum {
        held: usize,
        quorum: usize,
        term: u64,
    },
    /// The chosen server did not take the lead.
    #[display("{server} refused to lead: {source}")]
    #[from(ignore)]
    Promote {
        server: SocketAddr,
        source: backend::Error,
    },
}

/// What an attempt is to do.
#[derive(Clone, Copy, Debug)]
enum Task {
    Replace { suspect: Option<SocketAddr> },
    Record { term: u64, server: SocketAddr },
}

/// What an attempt achieved.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub term: u64,
    pub server: SocketAddr,
    /// Whether a server was promoted, or only the record put right.
    pub promoted: bool,
}

/// One attempt on one group, ready to run beside the control loop.
#[derive(Debug)]
pub struct Attempt {
    task: Task,
    group: String,
    servers: Vec<SocketAddr>,
    /// Those of the servers that are about to stop or were taken out.
    leaving: Vec<SocketAddr>,
    /// The life that each server was last seen in.
    lives: Map<SocketAddr, Life>,
    /// The servers that count, listed or not; the record keeps them for the next claimant.
    members: Vec<SocketAddr>,
    quorum: usize,
    /// The highest term seen in the record or on a server.
    top_term: u64,
    /// The revision of the record the attempt goes out from; zero when there is none.
    revision: u64,
    config: Config,
    kv: kv::Client,
}

/// The pause after a first failed attempt, and the longest one.
const RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// What is remembered of one group.
#[derive(Debug)]
struct Memory {
    verdict: Verdict,
    /// Since when the verdict has been the same.
    since: Instant,
    backoff: Backoff,
    /// No attempt is made before this.
    not_before: Instant,
    counted: Counted,
}

/// The memory of the failover role.
#[derive(Debug)]
pub struct Watch {
    config: Config,
    kv: kv::Client,
    groups: Map<String, Memory>,
}

impl Watch {
    /// A watch that has seen nothing yet.
    pub fn new(config: Config, kv: kv::Client) -> Self {
        Self {
            config,
            kv,
            groups: Map::default(),
        }
    }

    /// Judges one group, last seen led by `led_by`; returns an attempt when it is time for
    /// this proxy to make one.
    pub fn observe(
        &mut self,
        group: &bundle::Group,
        view: &view::Group,
        led_by: Option<Leader>,
        now: Instant,
    ) -> Option<Attempt> {
        let memory = self.remember(&group.name, now);
        memory.counted.update(view, now);
        let quorum = memory.counted.quorum(group.sync_replicas)?;
        let outdated = memory.counted.outdates(view);
        let missing = memory.counted.is_missing_in(view);
        let after = self.config.failover.after;
        let limits = Limits {
            quorum,
            after,
            grace: after + 2 * self.config.backend.status_every,
        };
        let verdict = verdict::judge(view, led_by.map(|leader| leader.since), limits, now);
        let verdict = match (verdict, outdated) {
            (Verdict::Led, Some((term, server))) => Verdict::Unrecorded { term, server },
            _ => verdict,
        };
        let wait = self.wait(&group.name, verdict, missing);
        let memory = self.remember(&group.name, now);
        if memory.verdict != verdict {
            memory.verdict = verdict;
            memory.since = now;
        }
        if now < memory.since + wait || now < memory.not_before {
            return None;
        }
        let task = match verdict {
            Verdict::Led | Verdict::Unsure => return None,
            Verdict::Failed | Verdict::Leaving => Task::Replace {
                suspect: led_by.map(|leader| leader.server),
            },
            Verdict::Outranked => Task::Replace { suspect: None },
            Verdict::Unrecorded { term, server } => Task::Record { term, server },
        };
        let counted = &self.groups[&group.name].counted;
        Some(self.attempt(task, group, view, counted, quorum, now))
    }

    /// Notes how an attempt on `group` ended, which says when the next one may be made.
    pub fn attempted(&mut self, group: &str, success: bool, now: Instant) {
        let memory = self.remember(group, now);
        memory.since = now;
        match success {
            true => memory.backoff.reset(),
            false => memory.not_before = now + memory.backoff.pause(),
        }
    }

    fn remember(&mut self, group: &str, now: Instant) -> &mut Memory {
        let salt = backoff::stable_hash(&self.config.id);
        self.groups
            .entry(group.to_owned())
            .or_insert_with(|| Memory {
                verdict: Verdict::Led,
                since: now,
                backoff: Backoff::new(RETRY.0, RETRY.1, salt),
                not_before: now,
                counted: Counted::new(now),
            })
    }

    /// How long a verdict must hold before this proxy acts on it; the share of the spread is
    /// its own and the same each time.
    ///
    /// A record in which a server that counts is `missing` is written at once: until then a proxy
    /// that starts cannot know of that server once it is taken out of the list.
    fn wait(&self, group: &str, verdict: Verdict, missing: bool) -> Duration {
        let share = backoff::stable_fraction(&(&self.config.id, group));
        let spread = self.config.failover.spread.mul_f64(share);
        match verdict {
            Verdict::Led | Verdict::Unsure | Verdict::Failed | Verdict::Leaving => spread,
            Verdict::Unrecorded { .. } if missing => Duration::ZERO,
            Verdict::Outranked | Verdict::Unrecorded { .. } => {
                self.config.failover.claim_limit + spread
            }
        }
    }

    fn attempt(
        &self,
        task: Task,
        group: &bundle::Group,
        view: &view::Group,
        counted: &Counted,
        quorum: usize,
        now: Instant,
    ) -> Attempt {
        let on_servers = view.fresh(now).map(|(_, status)| status.term).max();
        let in_record = view.held.as_ref().map(|held| held.record.term);
        let leaving = view.servers.iter().filter(|server| server.leaving);
        Attempt {
            task,
            group: group.name.clone(),
            servers: view.servers.iter().map(|server| server.address).collect(),
            leaving: leaving.map(|server| server.address).collect(),
            lives: counted.lives().clone(),
            members: counted.addresses(),
            quorum,
            top_term: on_servers.max(in_record).unwrap_or_default(),
            revision: view.held.as_ref().map_or(0, |held| held.revision),
            config: self.config.clone(),
            kv: self.kv.clone(),
        }
    }
}

/// A server that holds the new term.
struct Fenced {
    server: SocketAddr,
    client: Client,
    log: u64,
    received: Position,
}

impl Attempt {
    /// The group this attempt is for.
    pub fn group(&self) -> &str {
        &self.group
    }

    /// Runs the attempt to its end.
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
        let term = self.top_term + 1;
        let claim = self.write(self.record(term, None), self.revision).await?;
        log::info!(target: "failover", "Claimed term {term} of group {}.", self.group);
        let fenced = self.fence(term, suspect).await?;
        let server = self.promote(term, fenced).await?;
        let recorded = self.write(self.record(term, Some(server)), claim).await;
        if let Err(error) = recorded {
            log::warn!(target: "failover", "Term {term} of {} is not recorded: {error}.", self.group);
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
    /// Failure: the KV applies the write and loses the answer; taken for a failure, the claim
    /// would stand unused, taken for a success, two proxies might hold one term. Guard: the
    /// record is read back, and only one equal to ours, which names this proxy, is a success.
    async fn write(&self, record: Record, revision: u64) -> Result<u64, Error> {
        let key = keys::primary(&self.group);
        let failure = match self.kv.put_if(&key, &record.to_value(), revision).await {
            Ok(Swap::Done { revision }) => return Ok(revision),
            Ok(Swap::Conflict) => return Err(Error::Moved),
            Err(error) => error,
        };
        match self.kv.get(&key).await? {
            Some(now) if Record::parse(&now.value)? == record => Ok(now.mod_revision),
            _ => Err(Error::Kv(failure)),
        }
    }

    /// Makes the servers hold `term`; returns as soon as a quorum of those that may lead do.
    ///
    /// The suspect is told too, so that it steps down if it hears us, but is not counted: it
    /// may hold the longest log and yet reach no replica.
    async fn fence(&self, term: u64, suspect: Option<SocketAddr>) -> Result<Vec<Fenced>, Error> {
        let mut calls: FuturesUnordered<_> = self
            .servers
            .iter()
            .map(|&server| tokio::spawn(fence_one(self.options(server), server, term)))
            .collect();
        let mut fenced = Vec::new();
        while let Some(answer) = calls.next().await {
            let Ok(Some(one)) = answer else { continue };
            if Some(one.server) == suspect {
                continue;
            }
            if self.has_lost_its_log(&one) {
                log::warn!(target: "failover", "{} has lost its log and does not count.", one.server);
                continue;
            }
            fenced.push(one);
            if fenced.len() >= self.quorum {
                return Ok(fenced);
            }
        }
        Err(Error::Quorum {
            held: fenced.len(),
            quorum: self.quorum,
            term,
        })
    }

    /// Whether a server's log is shorter than it was: it has started again empty.
    fn has_lost_its_log(&self, fenced: &Fenced) -> bool {
        let life = self.lives.get(&fenced.server);
        life.is_some_and(|life| !life.goes_on(fenced.log, fenced.received))
    }

    /// Promotes the most advanced of the fenced servers, of equal ones one that stays. One that was
    /// taken out may alone have a commit: it leads until another has caught up and replaces it.
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

async fn fence_one(
    (options, limit): (tokio_postgres::Config, Duration),
    server: SocketAddr,
    term: u64,
) -> Option<Fenced> {
    let client = backend::connect(&options, limit).await.ok()?;
    match backend::fence(&client, term, limit).await {
        Ok((log, received)) => Some(Fenced {
            server,
            client,
            log,
            received,
        }),
        Err(error) => {
            log::warn!(target: "failover", "{server} did not take term {term}: {error}.");
            None
        }
    }
}
