//! The group as the holder of the duty sees it: its servers' last answers, the roster and the memory.

use std::collections::BTreeMap;

use dandelionpitch_engine::{
    registry::{Entry, Incarnation, Role},
    roster::Roster,
    takeover::{self, Member, Monitor, Sight, Status, PROMOTION_COOLDOWN, STATUS_INTERVAL},
};

use super::super::{
    cluster::{moment, steps, Cluster},
    message::{Asker, Mail, Record},
    scenario::STEP,
    server::Order,
    view::{index, Follower, Noted},
};

const ASK_REPLICAS_EVERY: u64 = 500 / STEP;
const ASK_TIMEOUT: u64 = 350 / STEP;

/// When a server that is out of reach counts as lost.
const NOT_REACHED: u64 = 250 / STEP;

/// How long a server may owe an answer before it counts as lost.
const SLOW_LIMIT: u64 = 2_500 / STEP;

/// A server under observation.
pub struct Watcher {
    pub sight: Sight,
    pub answered: u64,
    pub asked: Option<u64>,
    /// The question under way.
    pub pending: Option<(u64, Order)>,
    pub order: Option<Order>,
}

impl Watcher {
    pub fn new(now: u64) -> Self {
        Self {
            sight: Sight::Unknown,
            answered: now,
            asked: None,
            pending: None,
            order: None,
        }
    }

    pub fn cancel_resume(&mut self) -> bool {
        if self.order == Some(Order::Resume) {
            self.order = None;
        }
        !matches!(self.pending, Some((_, Order::Resume)))
    }

    pub fn lately(&self, asked: u64) -> bool {
        asked.saturating_sub(self.answered) < SLOW_LIMIT
    }

    pub fn lost(&mut self, asked: u64, now: u64) {
        if !matches!(self.sight, Sight::Lost { .. }) {
            let since = takeover::lost_since(moment(asked), moment(now));
            self.sight = Sight::Lost { since };
        }
    }
}

/// What is kept of the group while the duty is held.
pub struct Watched {
    pub memory: Monitor,
    pub roster: Roster,
    pub recorded: Option<Noted>,
    pub writing: Option<(u64, u64)>,
    pub not_before: u64,
    pub trying: bool,
    pub watchers: BTreeMap<Incarnation, Watcher>,
}

impl Watched {
    pub fn new(recorded: Option<Noted>, trying: bool, now: u64) -> Self {
        let members = recorded.as_ref().map(|noted| &noted.record.members[..]);
        let promoted = recorded
            .as_ref()
            .filter(|noted| noted.record.promotions > 0);
        Self {
            memory: Monitor::default(),
            roster: Roster::new(members.unwrap_or_default(), moment(now)),
            not_before: promoted.map_or(now, |noted| noted.promoted + steps(PROMOTION_COOLDOWN)),
            recorded,
            writing: None,
            trying,
            watchers: BTreeMap::new(),
        }
    }

    pub fn members(&mut self, entries: &[Entry], now: u64) -> Vec<Member> {
        let present = |id: &Incarnation| entries.iter().any(|e| e.server.incarnation == *id);
        self.watchers.retain(|id, _| present(id));
        let member = |entry: &Entry| {
            let id = entry.server.incarnation.clone();
            let watcher = self.watchers.entry(id.clone());
            let watcher = watcher.or_insert_with(|| Watcher::new(now));
            Member {
                id,
                leaving: entry.server.leaving,
                sight: watcher.sight,
                asked: moment(watcher.answered),
            }
        };
        entries.iter().map(member).collect()
    }

    pub fn follow_record(&mut self, follower: &Follower, now: u64) {
        let Some(noted) = &follower.recorded else {
            return;
        };
        if self.recorded.as_ref().map(|known| known.revision) != Some(noted.revision) {
            self.roster.merge(&noted.record.members, moment(now));
            self.recorded = Some(noted.clone());
        }
    }

    pub fn keep_roster(&mut self, cluster: &mut Cluster, node: usize, holder: usize, token: u64) {
        let members = self.roster.ids();
        let known = self.recorded.as_ref();
        let same = known.is_some_and(|noted| noted.record.members == members);
        let writing = self.writing.is_some_and(|(_, until)| cluster.now < until);
        if same || writing || self.trying {
            return;
        }
        let last = known.map(|noted| noted.record.clone()).unwrap_or_default();
        let record = Record {
            holder,
            members,
            ..last
        };
        let known = known.map_or(0, |noted| noted.revision);
        let tag = cluster.tag();
        let from = Asker { node, tag };
        cluster.write_later(Mail::Write {
            from,
            token,
            known,
            record,
        });
        self.writing = Some((tag, cluster.now + 1_000 / STEP));
    }

    /// Asks each server if it is time to; notes questions that were not answered.
    pub fn ask(&mut self, cluster: &mut Cluster, node: usize, calm: bool) {
        let now = cluster.now;
        for (id, watcher) in &mut self.watchers {
            let server = index(id);
            if let (Some(_), Some(asked)) = (watcher.pending, watcher.asked) {
                let unreached = now - asked >= NOT_REACHED && !cluster.reach(node, server);
                let late = now - asked >= ASK_TIMEOUT;
                if unreached || late && !watcher.lately(asked) {
                    watcher.lost(asked, now);
                }
                if !unreached && !late {
                    continue;
                }
                watcher.pending = None;
            }
            let every = match watcher.sight {
                Sight::Answered(Status {
                    role: Role::Replica,
                    held: 0,
                    ..
                }) if calm => ASK_REPLICAS_EVERY,
                _ => steps(STATUS_INTERVAL),
            };
            if watcher.asked.is_some_and(|asked| now - asked < every) {
                continue;
            }
            let order = watcher.order.take().unwrap_or(Order::Status);
            let tag = cluster.tag();
            (watcher.asked, watcher.pending) = (Some(now), Some((tag, order)));
            cluster.ask(Asker { node, tag }, server, order);
        }
    }

    pub fn depose_old(&mut self, members: &[Member]) {
        let newest = takeover::newest_term(members);
        for member in members {
            let old = |status: Status| status.role == Role::Primary && status.term < newest;
            if matches!(member.sight, Sight::Answered(status) if old(status)) {
                self.tell(&member.id, Order::StepDown(newest));
            }
        }
    }

    pub fn resume_held(&mut self, members: &[Member]) {
        for member in members {
            if matches!(member.sight, Sight::Answered(status) if status.held != 0) {
                self.tell(&member.id, Order::Resume);
            }
        }
    }

    pub fn tell(&mut self, id: &Incarnation, order: Order) {
        if let Some(watcher) = self.watchers.get_mut(id) {
            watcher.order = Some(order);
        }
    }
}
