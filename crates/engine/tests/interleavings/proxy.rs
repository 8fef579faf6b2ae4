//! A proxy: it commits at the primary it believes in, and tells its caller that a commit is kept only when
//! that is proved, in the order of the daemon's.

mod durability;
mod reads;

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    commit::{Commit, Membership},
    freshness::{self, Lease, Poll, Relation},
    registry::{Entry as Registered, Incarnation, Role},
    roster::LIST_VALIDITY,
    takeover::{self, Status},
};

use super::{
    cluster::{moment, Cluster},
    message::{Answer, Asker, Mail, Said},
    scenario::{proxy_node, STEP},
    server::Order,
    view::{index, Follower},
};
use durability::Pending;
use reads::Reads;

/// How many replicas a commit waits for.
const SYNC_REPLICAS: usize = 1;

const FIRST_ANSWER: u64 = 400 / STEP;
const LATE_ANSWER: u64 = 1;
const SEARCH_EVERY: u64 = 500 / STEP;
const SEARCH_LIMIT: u64 = 500 / STEP;
/// How often the lease is renewed ahead of reads.
const POLL_EVERY: u64 = 250 / STEP;

/// Questions to several servers, asked at one time.
#[derive(Default)]
struct Round {
    asked: u64,
    /// Tags of those that have yet to answer, and when they are asked.
    open: Vec<(u64, Incarnation, u64)>,
    followers: usize,
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
    reads: Reads,
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
            reads: Reads::default(),
        }
    }

    pub fn take(&mut self, cluster: &mut Cluster, mail: &Mail) {
        match mail {
            Mail::Answer(answer) => self.hear(cluster, answer),
            Mail::Acked { server, entry, .. } => self.acked(cluster, *server, *entry),
            Mail::Refused { server, .. } => self.depose(*server),
            Mail::Rows {
                server,
                position,
                missed,
                ..
            } => self.rows(cluster, *server, *position, *missed),
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
        self.keep_reads(cluster);
        let writes = self.number == 0 || !cluster.scenario.reads_only;
        let due = writes && cluster.now % cluster.scenario.pace == self.number as u64;
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

    fn unregistered(&self) -> usize {
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

    fn list(&self, now: u64) -> Membership {
        let age = moment(now).since(moment(self.follower.followed));
        match (self.counted().is_some(), age < LIST_VALIDITY) {
            (false, _) => Membership::Missing,
            (true, true) => Membership::Current,
            (true, false) => Membership::Stale,
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

    fn poll_of(&self, (asked, answered): (u64, u64), followers: usize) -> Poll {
        Poll {
            asked: moment(asked),
            answered: moment(answered),
            followers,
            others: self.others_count(),
            unregistered: self.unregistered(),
            sync_replicas: SYNC_REPLICAS,
        }
    }

    fn proves(&self, primary: &Incarnation, commit: &Commit, now: u64) -> bool {
        let lease = self.leads(primary, commit).then_some(&self.lease);
        commit.is_durable(lease, self.list(now), &self.beside(primary))
    }

    /// Whether `primary` is known as the primary of the commit's term.
    fn leads(&self, primary: &Incarnation, commit: &Commit) -> bool {
        let leader = self.leader.as_ref();
        leader.is_some_and(|(id, term)| id == primary && *term == commit.term())
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
        self.reads.led_anew(status.received);
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
                self.lease
                    .confirm(self.poll_of((round.asked, cluster.now), round.followers));
            }
        } else if self.leader.is_some() && now - self.polled >= POLL_EVERY {
            let mut others = self.others();
            if self.lease.is_renewable(moment(now)) {
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
        match freshness::relation(&status, term) {
            Relation::Supersedes => {
                self.poll = None;
                self.superseded(term, &status);
            }
            relation => {
                if let Some(round) = &mut self.poll {
                    round.followers += usize::from(relation == Relation::Follows);
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
}
