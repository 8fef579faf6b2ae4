//! One failover attempt: replaces a group's primary, or records the current one.
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
    decision::{self, Candidate},
    voters::History,
};
use crate::{backend, config::Config};

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
pub(super) enum Task {
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
    pub(super) task: Task,
    pub(super) group: String,
    pub(super) servers: Vec<SocketAddr>,
    /// The servers that are about to stop or were removed from the bundle.
    pub(super) leaving: Vec<SocketAddr>,
    /// When each server had last heard from a primary, or reported that it leads.
    pub(super) last_contacts: Map<SocketAddr, Instant>,
    /// The last seen log of each server.
    pub(super) histories: Map<SocketAddr, History>,
    /// The servers that count for the quorum, listed in the bundle or not; they are written to the
    /// record.
    pub(super) members: Vec<SocketAddr>,
    pub(super) quorum: usize,
    /// The highest term in the record or on any server.
    pub(super) highest_term: u64,
    /// The expected revision of the record; zero if there is none.
    pub(super) revision: u64,
    pub(super) config: Config,
    pub(super) kv: kv::Client,
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
            log::info!(target: "failover", "{} accepted term {term}; its log ends at {}.", reply.server, reply.received);
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

    /// Promotes the best of the fenced servers, see [`decision::choose`].
    async fn promote(&self, term: u64, fenced: Vec<Fenced>) -> Result<SocketAddr, Error> {
        let candidate = |fenced: &Fenced| Candidate {
            server: fenced.server,
            received: fenced.received,
            leaving: self.leaving.contains(&fenced.server),
            last_contact: self.last_contacts.get(&fenced.server).copied(),
        };
        let candidates: Vec<Candidate> = fenced.iter().map(candidate).collect();
        let best = decision::choose(&candidates).expect("a quorum has at least one server");
        let best = &fenced[best];
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
