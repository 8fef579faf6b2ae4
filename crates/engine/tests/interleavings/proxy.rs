//! A proxy: it commits at the primary it believes in, and tells its caller that a commit is kept only when
//! that is proved, in the order of the daemon's.

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    commit::{Commit, List, Testimony},
    freshness::{self, Lease, Poll, Word},
    registry::{Entry as Registered, Incarnation, Role},
    roster::LIST_HOLDS,
    takeover::{self, Status},
};

use super::{
    cluster::{moment, Answer, Asker, Cluster, Mail, Said},
    follower::{index, Follower},
    scenario::{proxy_node, STEP},
    server::{Entry, Order},
};

const FIRST_ANSWER: u64 = 400 / STEP;
const LATE_ANSWER: u64 = 1;
const HEDGE: u64 = 2;
const SEARCH_EVERY: u64 = 500 / STEP;
const SEARCH_LIMIT: u64 = 500 / STEP;
/// How often the lease is renewed ahead of reads.
const POLL_EVERY: u64 = 250 / STEP;
/// How long a caller waits for the proof.
const PATIENCE: u64 = 3_000 / STEP;
const STORE_LIMIT: u64 = 1_000 / STEP;

/// Questions to several servers, asked at one time.
#[derive(Default)]
struct Round {
    asked: u64,
    /// Tags of those that have yet to answer, and when they are asked.
    open: Vec<(u64, Incarnation, u64)>,
    obey: usize,
    /// When the round ends without another answer.
    ends: u64,
    answers: Vec<(Incarnation, Status)>,
}

impl Round {
    /// Takes an answer to one of its questions; returns whose it is.
    fn takes(&mut self, tag: u64) -> Option<Incarnation> {
        let at = self.open.iter().position(|(open, ..)| *open == tag)?;
        Some(self.open.remove(at).1)
    }
}

enum Stage {
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
struct Pending {
    entry: Entry,
    primary: Incarnation,
    commit: Commit,
    until: u64,
    stage: Stage,
}

pub struct Proxy {
    number: usize,
    follower: Follower,
    leader: Option<(Incarnation, u64)>,
    lease: Lease,
    last: Map<Incarnation, Status>,
    search: Option<Round>,
    searched: u64,
    poll: Option<Round>,
    polled: u64,
    pending: Vec<Pending>,
    flying: bool,
}

impl Proxy {
    pub fn new(number: usize) -> Self {
        Self {
            number,
            follower: Follower::new(proxy_node(number)),
            leader: None,
            lease: Lease::default(),
            last: Map::default(),
            search: None,
            searched: 0,
            poll: None,
            polled: 0,
            pending: Vec::new(),
            flying: false,
        }
    }

    pub fn take(&mut self, cluster: &mut Cluster, mail: &Mail) {
        match mail {
            Mail::Answer(answer) => self.hear(cluster, answer),
            Mail::Acked { server, entry, .. } => self.acked(cluster, *server, *entry),
            Mail::Refused { server, .. } => self.depose(*server),
            Mail::Testified { to, testimony } => self.testified(cluster, *to, testimony.as_ref()),
            _ => {}
        }
    }

    pub fn step(&mut self, cluster: &mut Cluster) {
        if self.follower.step(cluster) {
            let entries = self.follower.entries();
            let gone = |id: &Incarnation| !entries.iter().any(|e| e.server.incarnation == *id);
            if self.leader.as_ref().is_some_and(|(id, _)| gone(id)) {
                self.revoke_leader();
            }
        }
        self.keep_search(cluster);
        self.keep_poll(cluster);
        for pending in std::mem::take(&mut self.pending) {
            self.go_on(cluster, pending);
        }
        let due = cluster.now % cluster.scenario.pace == self.number as u64;
        if let (true, Some((id, _))) = (due, &self.leader) {
            let (proxy, server, delay) = (self.number, index(id), cluster.draw(4));
            cluster.post(delay, Mail::Commit { proxy, server });
        }
    }

    fn revoke_leader(&mut self) {
        self.leader = None;
        self.lease = Lease::default();
    }

    fn depose(&mut self, server: usize) {
        if self
            .leader
            .as_ref()
            .is_some_and(|(id, _)| index(id) == server)
        {
            self.revoke_leader();
        }
    }

    fn others(&self) -> Vec<Registered> {
        let mut entries = self.follower.entries();
        let leader = self.leader.as_ref().map(|(id, _)| id);
        entries.retain(|entry| Some(&entry.server.incarnation) != leader);
        entries
    }

    fn counted(&self) -> Option<&[Incarnation]> {
        self.follower
            .recorded
            .as_ref()
            .map(|noted| &noted.record.members[..])
    }

    fn unseen(&self) -> usize {
        let entries = self.follower.entries();
        let seen = |id: &&Incarnation| entries.iter().any(|e| e.server.incarnation == **id);
        let counted = self.counted().unwrap_or_default();
        counted.len() - counted.iter().filter(seen).count()
    }

    /// The servers besides a primary, those included that count and have vanished.
    fn beside(&self, primary: &Incarnation) -> Vec<Incarnation> {
        let entries = self.follower.entries();
        let registered = entries.iter().map(|entry| &entry.server.incarnation);
        let all = registered.chain(self.counted().unwrap_or_default());
        all.filter(|id| *id != primary).cloned().collect()
    }

    fn others_count(&self) -> usize {
        self.follower.entries().len().saturating_sub(1)
    }

    fn list(&self, now: u64) -> List {
        let age = moment(now).since(moment(self.follower.followed));
        match (self.counted().is_some(), age < LIST_HOLDS) {
            (false, _) => List::Missing,
            (true, true) => List::Current,
            (true, false) => List::Old,
        }
    }

    fn vouches(&self, id: &Incarnation) -> bool {
        let missing = self
            .follower
            .entries()
            .iter()
            .any(|entry| entry.server.incarnation == *id && entry.missing_since.is_some());
        !missing && self.counted().is_some_and(|ids| ids.contains(id))
    }

    fn poll_of(&self, asked: u64, obey: usize) -> Poll {
        Poll {
            asked: moment(asked),
            obey,
            others: self.others_count(),
            unseen: self.unseen(),
            sync_replicas: 1,
        }
    }

    fn proves(&self, commit: &Commit, now: u64) -> bool {
        let led = self.leader.as_ref().map(|(_, term)| *term);
        commit.is_kept(&self.lease, led, self.list(now))
    }

    /// Begins a round of questions, each `apart` steps after the one before.
    fn round(
        &self,
        cluster: &mut Cluster,
        servers: &[Registered],
        apart: u64,
        patience: u64,
    ) -> Round {
        let now = cluster.now;
        let mut open = Vec::new();
        for (place, entry) in (0..).zip(servers) {
            open.push((
                cluster.tag(),
                entry.server.incarnation.clone(),
                now + apart * place,
            ));
        }
        let mut round = Round {
            asked: now,
            open,
            ends: now + patience,
            ..Round::default()
        };
        self.ask_due(cluster, &mut round);
        round
    }

    /// Asks those whose turn it is.
    fn ask_due(&self, cluster: &mut Cluster, round: &mut Round) {
        let (node, now) = (self.follower.node, cluster.now);
        for (tag, id, at) in &round.open {
            if *at == now {
                cluster.ask(Asker { node, tag: *tag }, index(id), Order::Status);
            }
        }
    }

    /// What a server says, unless it has started again since it was last heard.
    fn same_life(&mut self, id: &Incarnation, said: Said) -> Option<Status> {
        let Said::Status(status) = said else {
            return None;
        };
        let before = self.last.get(id);
        if before.is_some_and(|before| takeover::has_restarted(before, &status)) {
            return None;
        }
        self.last.insert(id.clone(), status);
        Some(status)
    }

    fn hear(&mut self, cluster: &mut Cluster, answer: &Answer) {
        let (tag, said) = (answer.to.tag, answer.said);
        if let Some(id) = self.search.as_mut().and_then(|round| round.takes(tag)) {
            let status = self.same_life(&id, said);
            if let (Some(round), Some(status)) = (&mut self.search, status) {
                round.answers.push((id, status));
            }
        } else if let Some(id) = self.poll.as_mut().and_then(|round| round.takes(tag)) {
            self.hear_poll(cluster, &id, said);
        } else {
            self.hear_commit(cluster, tag, said);
        }
    }

    fn keep_search(&mut self, cluster: &mut Cluster) {
        let now = cluster.now;
        if let Some(round) = self.search.take() {
            if now < round.ends && !round.open.is_empty() {
                self.search = Some(round);
                return;
            }
            self.searched = now;
            self.adopt(cluster, &round.answers);
        } else if self.leader.is_none() || now - self.searched >= SEARCH_EVERY {
            let entries = self.follower.entries();
            self.search = Some(self.round(cluster, &entries, 0, SEARCH_LIMIT));
        }
    }

    fn adopt(&mut self, cluster: &mut Cluster, statuses: &[(Incarnation, Status)]) {
        let primaries = statuses
            .iter()
            .filter(|(_, status)| status.role == Role::Primary);
        let Some((id, status)) = primaries.max_by_key(|(_, status)| status.term) else {
            return;
        };
        if self
            .leader
            .as_ref()
            .is_some_and(|(_, term)| *term >= status.term)
        {
            return;
        }
        self.lease = Lease::default();
        self.leader = Some((id.clone(), status.term));
        let number = self.number;
        cluster.note(|| format!("proxy {number} believes in {id}, term {}", status.term));
    }

    fn keep_poll(&mut self, cluster: &mut Cluster) {
        let now = cluster.now;
        if let Some(round) = self.poll.take() {
            if now < round.ends && !round.open.is_empty() {
                self.poll = Some(round);
            } else {
                self.lease.confirm(self.poll_of(round.asked, round.obey));
            }
        } else if self.leader.is_some() && now - self.polled >= POLL_EVERY {
            let mut others = self.others();
            if self.lease.renewable(moment(now)) {
                let first = cluster.draw(others.len().max(1) as u64) as usize;
                others.rotate_left(first);
                others.truncate(1);
            }
            self.polled = now;
            self.poll = Some(self.round(cluster, &others, 0, FIRST_ANSWER));
        }
    }

    fn hear_poll(&mut self, cluster: &mut Cluster, id: &Incarnation, said: Said) {
        let (Some(status), Some((_, term))) = (self.same_life(id, said), self.leader.clone())
        else {
            return;
        };
        match freshness::word(&status, term) {
            Word::Supersedes => {
                self.poll = None;
                self.superseded(term, &status);
            }
            word => {
                if let Some(round) = &mut self.poll {
                    round.obey += usize::from(word == Word::Obeys);
                    round.ends = round.ends.min(cluster.now + LATE_ANSWER);
                }
            }
        }
    }

    fn superseded(&mut self, term: u64, status: &Status) {
        self.lease = Lease::default();
        if status.term > term {
            self.revoke_leader();
        }
    }

    fn acked(&mut self, cluster: &mut Cluster, server: usize, entry: Entry) {
        // The connection is that to the server as it is known here.
        let entries = self.follower.entries();
        let known = entries
            .iter()
            .find(|e| index(&e.server.incarnation) == server);
        let Some(known) = known else { return };
        self.pending.push(Pending {
            entry,
            primary: known.server.incarnation.clone(),
            commit: Commit::new(entry.position()),
            until: cluster.now + PATIENCE,
            stage: Stage::Pausing { until: cluster.now },
        });
    }

    /// What is due for a commit at this step.
    fn go_on(&mut self, cluster: &mut Cluster, mut pending: Pending) {
        let now = cluster.now;
        if now >= pending.until {
            if matches!(pending.stage, Stage::Storing { .. }) {
                self.land();
            }
            return;
        }
        match &mut pending.stage {
            Stage::Pausing { until } if now >= *until => {
                pending.commit.beside(self.beside(&pending.primary));
                pending.stage = Stage::Asking(self.commit_round(cluster, &pending.primary));
            }
            Stage::Asking(round) if now >= round.ends || round.open.is_empty() => {
                let obeyed = (round.obey > 0).then_some(round.asked);
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
        let hedge = match self.lease.leads(moment(now)) && self.list(now) == List::Current {
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

    fn hear_commit(&mut self, cluster: &mut Cluster, tag: u64, said: Said) {
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
                match freshness::word(&status, term) {
                    Word::Obeys => {
                        round.obey += 1;
                        self.lease.confirm(self.poll_of(round.asked, round.obey));
                    }
                    Word::Supersedes => self.superseded(term, &status),
                    Word::Nothing => {}
                }
            }
            let vouches = self.vouches(&id);
            pending
                .commit
                .note(&id, vouches, &status, moment(cluster.now));
            if self.proves(&pending.commit, cluster.now) {
                return cluster.report(self.number, pending.entry, "lease or all");
            }
            if pending.commit.is_held() {
                round.ends = round.ends.min(cluster.now + LATE_ANSWER);
            }
        }
        self.pending.push(pending);
    }

    fn round_ended(&mut self, cluster: &mut Cluster, mut pending: Pending, obeyed: Option<u64>) {
        let now = cluster.now;
        if self.proves(&pending.commit, now) {
            return cluster.report(self.number, pending.entry, "lease after the round");
        }
        pending.stage = match (pending.commit.is_held(), self.flying) {
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

    fn testified(&mut self, cluster: &mut Cluster, to: Asker, testimony: Option<&Testimony>) {
        let asked_for = |pending: &Pending| matches!(pending.stage, Stage::Storing { tag, .. } if tag == to.tag);
        let Some(at) = self.pending.iter().position(asked_for) else {
            return;
        };
        let mut pending = self.pending.remove(at);
        let Stage::Storing { obeyed, .. } = pending.stage else {
            return;
        };
        let leads = self
            .leader
            .as_ref()
            .is_some_and(|(id, _)| *id == pending.primary);
        let led = self.leader.as_ref().map(|(_, term)| *term);
        let witnessed = leads
            && testimony.is_some_and(|t| pending.commit.is_witnessed(t, &pending.primary, led));
        if let (true, Some(obeyed)) = (witnessed, obeyed) {
            self.lease.witnessed(moment(obeyed));
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
            match joins && self.proves(&pending.commit, cluster.now) {
                true => cluster.report(self.number, pending.entry, "the lease of another's word"),
                false => self.pending.push(pending),
            }
        }
    }
}
