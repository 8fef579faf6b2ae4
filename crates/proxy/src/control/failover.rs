//! Failover: decides when to replace a primary.
//!
//! The [`Coordinator`] turns each group's [`Decision`] into an [`Attempt`] once the decision has
//! been stable long enough (`docs/DESIGN.md`, "Failover").

use std::time::{Duration, Instant};

use dandelionpitch_core::{bundle, hash::Map, kv};

use super::{
    attempt::{Attempt, Task},
    backoff::{self, Backoff},
    decision::{self, Decision, Limits},
    evidence::Evidence,
    voters::Voters,
    Leader,
};
use crate::{config::Config, view};

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
        monitor.voters.update(view, group.sync_replicas, now);
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
            let evidence = Evidence {
                group: view,
                last_leader,
                now,
            };
            let (name, was) = (&group.name, monitor.decision);
            log::info!(target: "failover", "Group {name} is {decision:?} (was {was:?}), quorum {quorum}: {evidence}.");
            monitor.decision = decision;
            monitor.since = now;
        }
        if now < monitor.since + delay || now < monitor.not_before {
            return None;
        }
        let task = match decision {
            Decision::Healthy | Decision::Undecided => return None,
            Decision::Failed | Decision::Leaving => {
                // A primary without the log with which it led counts like any other server.
                let suspect = last_leader.map(|leader| leader.server);
                let voters = &self.groups[&group.name].voters;
                Task::Replace {
                    suspect: suspect.filter(|&server| !voters.has_restarted_empty(server)),
                }
            }
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
        let last_contacts = view.servers.iter().filter_map(|server| {
            let status = server.status.get()?;
            Some((server.address, status.read_at.checked_sub(status.silence)?))
        });
        Attempt {
            task,
            group: group.name.clone(),
            servers: view.servers.iter().map(|server| server.address).collect(),
            leaving: leaving.map(|server| server.address).collect(),
            last_contacts: last_contacts.collect(),
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
