//! How a proxy finds out that a commit is kept.

use dandelionpitch_engine::{
    commit::{Commit, Membership, Snapshot},
    freshness::{self, Relation},
    registry::Incarnation,
};

use super::{
    super::{
        cluster::{moment, Cluster},
        message::{Asker, Mail, Said},
        scenario::STEP,
        server::Entry,
        view::index,
    },
    Proxy, Round, FIRST_ANSWER, LATE_ANSWER, SYNC_REPLICAS,
};

/// How long the nearest replica is waited for before the next is asked as well.
const HEDGE: u64 = 2;

/// How long a caller waits for the proof.
const PATIENCE: u64 = 3_000 / STEP;

/// How long the store is waited for.
const STORE_LIMIT: u64 = 1_000 / STEP;

pub enum Stage {
    Pausing {
        until: u64,
    },
    Asking(Round),
    /// The store is asked; `obeyed` if a replica obeyed the primary, asked then.
    Storing {
        tag: u64,
        obeyed: Option<u64>,
        until: u64,
    },
    /// Another commit's question to the store is waited for.
    Joining,
}

/// A commit whose caller waits for the proof.
pub struct Pending {
    entry: Entry,
    primary: Incarnation,
    commit: Commit,
    until: u64,
    stage: Stage,
}

impl Proxy {
    pub(super) fn acked(&mut self, cluster: &mut Cluster, server: usize, entry: Entry) {
        // The connection is that to the server as it is known here.
        let entries = self.follower.entries();
        let known = entries
            .iter()
            .find(|e| index(&e.server.incarnation) == server);
        let Some(known) = known else { return };
        self.reads.position(entry.position());
        self.pending.push(Pending {
            entry,
            primary: known.server.incarnation.clone(),
            commit: Commit::new(entry.position(), SYNC_REPLICAS),
            until: cluster.now + PATIENCE,
            stage: Stage::Pausing { until: cluster.now },
        });
    }

    /// What is due for a commit at this step.
    pub(super) fn go_on(&mut self, cluster: &mut Cluster, mut pending: Pending) {
        let now = cluster.now;
        if now >= pending.until {
            if matches!(pending.stage, Stage::Storing { .. }) {
                self.land();
            }
            return;
        }
        match &mut pending.stage {
            Stage::Pausing { until } if now >= *until => {
                pending.stage = Stage::Asking(self.commit_round(cluster, &pending.primary));
            }
            Stage::Asking(round) if now >= round.ends || round.open.is_empty() => {
                let obeyed = (round.followers > 0).then_some(round.asked);
                return self.round_ended(cluster, pending, obeyed);
            }
            Stage::Asking(round) => self.ask_due(cluster, round),
            Stage::Storing { until, .. } if now >= *until => {
                self.land();
                pending.stage = Stage::Pausing { until: now + 1 };
            }
            _ => {}
        }
        self.pending.push(pending);
    }

    fn commit_round(&self, cluster: &mut Cluster, primary: &Incarnation) -> Round {
        let now = cluster.now;
        let mut replicas = self.follower.entries();
        replicas.retain(|entry| entry.server.incarnation != *primary);
        let hedge = match self.lease.excludes_promotion(moment(now))
            && self.list(now) == Membership::Current
        {
            true => {
                replicas.retain(|entry| self.vouches(&entry.server.incarnation));
                let first = cluster.draw(replicas.len().max(1) as u64) as usize;
                replicas.rotate_left(first);
                HEDGE
            }
            false => 0,
        };
        self.round(cluster, &replicas, hedge, FIRST_ANSWER)
    }

    pub(super) fn hear_commit(&mut self, cluster: &mut Cluster, tag: u64, said: Said) {
        let asked_for = |pending: &Pending| match &pending.stage {
            Stage::Asking(round) => round.open.iter().any(|(open, ..)| *open == tag),
            _ => false,
        };
        let Some(at) = self.pending.iter().position(asked_for) else {
            return;
        };
        let mut pending = self.pending.remove(at);
        let Stage::Asking(round) = &mut pending.stage else {
            return;
        };
        let status = round
            .takes(tag)
            .and_then(|id| Some((self.same_life(&id, said)?, id)));
        if let Some((status, id)) = status {
            if let Some((_, term)) = self.leader {
                match freshness::relation(&status, term) {
                    Relation::Follows => {
                        round.followers += 1;
                        self.lease
                            .confirm(self.poll_of((round.asked, cluster.now), round.followers));
                    }
                    Relation::Supersedes => self.superseded(term, &status),
                    Relation::Unrelated => {}
                }
            }
            let vouches = self.vouches(&id);
            pending
                .commit
                .note(&id, vouches, &status, moment(cluster.now));
            if self.proves(&pending.primary, &pending.commit, cluster.now) {
                return cluster.report(self.number, pending.entry, "lease or all");
            }
            if pending.commit.is_replicated() {
                round.ends = round.ends.min(cluster.now + LATE_ANSWER);
            }
        }
        self.pending.push(pending);
    }

    fn round_ended(&mut self, cluster: &mut Cluster, mut pending: Pending, obeyed: Option<u64>) {
        let now = cluster.now;
        if self.proves(&pending.primary, &pending.commit, now) {
            return cluster.report(self.number, pending.entry, "lease after the round");
        }
        pending.stage = match (pending.commit.is_replicated(), self.flying) {
            (false, _) => Stage::Pausing { until: now + 1 },
            (true, true) => Stage::Joining,
            (true, false) => {
                self.flying = true;
                let (tag, delay) = (cluster.tag(), cluster.draw(6));
                let from = Asker {
                    node: self.follower.node,
                    tag,
                };
                cluster.post(delay, Mail::Testify { from, asked: now });
                Stage::Storing {
                    tag,
                    obeyed,
                    until: now + STORE_LIMIT,
                }
            }
        };
        self.pending.push(pending);
    }

    /// The question to the store has ended: those that waited for it look again.
    fn land(&mut self) {
        self.flying = false;
        for pending in &mut self.pending {
            if matches!(pending.stage, Stage::Joining) {
                pending.stage = Stage::Pausing { until: 0 };
            }
        }
    }

    pub(super) fn testified(
        &mut self,
        cluster: &mut Cluster,
        to: Asker,
        testimony: Option<&Snapshot>,
    ) {
        let asked_for = |pending: &Pending| matches!(pending.stage, Stage::Storing { tag, .. } if tag == to.tag);
        let Some(at) = self.pending.iter().position(asked_for) else {
            return;
        };
        let mut pending = self.pending.remove(at);
        let Stage::Storing { obeyed, .. } = pending.stage else {
            return;
        };
        let leads = self.leads(&pending.primary, &pending.commit);
        let witnessed = leads
            && testimony.is_some_and(|t| pending.commit.is_durable_by_record(t, &pending.primary));
        if let (true, Some(obeyed)) = (witnessed, obeyed) {
            self.lease.renew_from_record(moment(obeyed));
        }
        pending.stage = Stage::Pausing {
            until: cluster.now + 1,
        };
        match witnessed {
            true => cluster.report(self.number, pending.entry, "the store's word"),
            false => self.pending.push(pending),
        }
        self.joined(cluster);
        self.land();
    }

    /// Those that waited for the store's word to another commit go by the lease it gave.
    fn joined(&mut self, cluster: &mut Cluster) {
        for pending in std::mem::take(&mut self.pending) {
            let joins = matches!(pending.stage, Stage::Joining);
            match joins && self.proves(&pending.primary, &pending.commit, cluster.now) {
                true => cluster.report(self.number, pending.entry, "the lease of another's word"),
                false => self.pending.push(pending),
            }
        }
    }
}
