//! A process that may hold the failover duty: it watches the servers, judges and starts attempts.

mod watched;

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    election::{Election, LEASE_TTL, RENEW_INTERVAL},
    registry::Incarnation,
    restart::Detector,
    takeover::{self, Decision, Sight, PROMOTION_COOLDOWN},
};

use super::{
    attempt::{same_life, Attempt, Desk, Ended},
    cluster::{moment, steps, Cluster},
    follower::Follower,
    mail::{Answer, Asker, Mail, Said},
    scenario::{promoter_node, STEP, STORE},
};
use watched::Watched;

const TICK: u64 = 100 / STEP;
const SETTLE: u64 = 1_200 / STEP;
const RETRY: u64 = 400 / STEP;

pub struct Promoter {
    number: usize,
    follower: Follower,
    duty: Election,
    renewed: u64,
    watched: Option<Watched>,
    attempts: Vec<Attempt>,
    lives: Map<Incarnation, Detector>,
}

impl Promoter {
    pub fn new(number: usize) -> Self {
        Self {
            number,
            follower: Follower::new(promoter_node(number)),
            duty: Election::default(),
            renewed: 0,
            watched: None,
            attempts: Vec::new(),
            lives: Map::default(),
        }
    }

    pub fn take(&mut self, cluster: &mut Cluster, mail: &Mail) {
        match mail {
            Mail::Answer(answer) => self.hear(cluster, answer),
            Mail::Written { to, revision } => self.written(cluster, *to, *revision),
            _ => {}
        }
    }

    fn hear(&mut self, cluster: &mut Cluster, answer: &Answer) {
        self.attend(cluster, |attempt, desk| {
            attempt.hear(desk, answer);
            None
        });
        let watchers = self.watched.iter_mut().flat_map(|w| &mut w.watchers);
        let tag = answer.to.tag;
        for (id, watcher) in watchers {
            if !matches!(watcher.pending, Some((pending, _)) if pending == tag) {
                continue;
            }
            watcher.pending = None;
            match answer.said {
                Said::Status(status)
                    if same_life(&mut self.lives, id, &status, (answer.asked, cluster.now)) =>
                {
                    watcher.sight = Sight::Answered(status);
                    watcher.answered = answer.asked;
                }
                Said::Busy if watcher.lately(answer.asked) => {}
                Said::Status(_) | Said::Busy => watcher.lost(answer.asked, cluster.now),
            }
        }
    }

    fn written(&mut self, cluster: &mut Cluster, to: Asker, revision: Option<u64>) {
        self.attend(cluster, |attempt, desk| attempt.written(desk, to, revision));
        let Some(watched) = &mut self.watched else {
            return;
        };
        if matches!(watched.writing, Some((tag, _)) if tag == to.tag) {
            let again = cluster.now + if revision.is_some() { 0 } else { RETRY };
            watched.writing = Some((0, again));
        }
    }

    /// Goes through the attempts; one that has ended is noted and dropped.
    fn attend(
        &mut self,
        cluster: &mut Cluster,
        act: impl Fn(&mut Attempt, &mut Desk) -> Option<Ended>,
    ) {
        for mut attempt in std::mem::take(&mut self.attempts) {
            let token = self.duty.token(moment(cluster.now));
            let (follower, lives) = (&mut self.follower, &mut self.lives);
            let mut desk = Desk {
                cluster,
                follower,
                token,
                lives,
            };
            match act(&mut attempt, &mut desk) {
                None => self.attempts.push(attempt),
                Some(ended) => self.ended(&ended, cluster.now),
            }
        }
    }

    fn ended(&mut self, ended: &Ended, now: u64) {
        let Some(watched) = &mut self.watched else {
            return;
        };
        watched.trying = false;
        match ended {
            Ended::Called { server, term } => {
                watched.memory.note_promotion(server, *term, moment(now));
                watched.not_before = now + SETTLE;
            }
            Ended::NotCalled => {
                watched.memory.note_attempt();
                watched.not_before = now + RETRY;
            }
        }
    }

    pub fn step(&mut self, cluster: &mut Cluster) {
        if self.follower.step(cluster) {
            let seen = self.follower.duty;
            let seen = seen.map(|(holder, token)| (holder.to_string(), token));
            self.duty
                .note_leader(seen.as_ref().map(|(name, token)| (name.as_str(), *token)));
        }
        self.keep_duty(cluster);
        self.attend(cluster, |attempt, desk| attempt.step(desk));
        if cluster.now.is_multiple_of(TICK) {
            self.look(cluster);
        }
    }

    /// Renews the lease of the duty, or claims it when it is free.
    fn keep_duty(&mut self, cluster: &mut Cluster) {
        let now = cluster.now;
        if !cluster.reach(self.follower.node, STORE) {
            return;
        }
        let until = now + steps(LEASE_TTL);
        if self.duty.is_elected() {
            if now < self.renewed + steps(RENEW_INTERVAL) {
                return;
            }
            match &mut cluster.store.duty {
                Some((holder, _, end)) if *holder == self.number => {
                    *end = until;
                    self.duty.note_renewal(moment(now));
                    self.renewed = now;
                }
                _ => self.duty.note_expiry(),
            }
        } else if self.duty.is_vacant() && cluster.store.duty.is_none() {
            cluster.store.revision += 1;
            let token = cluster.store.revision;
            cluster.store.duty = Some((self.number, token, until));
            self.duty.note_won(&self.number.to_string(), token);
            self.duty.note_renewal(moment(now));
            self.renewed = now;
            cluster.note(|| format!("promoter {} takes the duty", self.number));
        }
    }

    /// Asks the servers, judges the group and starts an attempt if one is due.
    fn look(&mut self, cluster: &mut Cluster) {
        let now = cluster.now;
        let Some(token) = self.duty.token(moment(now)) else {
            self.watched = None;
            self.lives.clear();
            return;
        };
        let entries = self.follower.entries();
        if entries.is_empty() {
            return;
        }
        let recorded = self.follower.recorded.clone();
        let trying = !self.attempts.is_empty();
        let watched = self
            .watched
            .get_or_insert_with(|| Watched::new(recorded, trying, now));
        let members = watched.members(&entries, now);
        watched.follow_record(&self.follower, now);
        watched.roster.update(&members, moment(now));
        watched.keep_roster(cluster, self.follower.node, self.number, token);
        let calm = takeover::leader(&members).is_some() && !watched.memory.is_suspect(moment(now));
        watched.ask(cluster, self.follower.node, calm);
        watched.depose_old(&members);
        if watched.trying || now < watched.not_before {
            return;
        }
        let old = match watched.memory.evaluate(&members, moment(now)) {
            Decision::Replace { old, .. } => old,
            Decision::Resume => return watched.resume_held(&members),
            Decision::Healthy | Decision::Undecided => return,
        };
        let noted = self.follower.recorded.as_ref();
        let ours = noted.is_none_or(|noted| {
            let (record, past) = (&noted.record, now - noted.promoted);
            record.holder == self.number
                || record.promotions == 0
                || past >= steps(PROMOTION_COOLDOWN)
        });
        let watchers = watched.watchers.values_mut();
        let settled = watchers.filter_map(|watcher| watcher.cancel_resume().then_some(()));
        let settled = settled.count() == watched.watchers.len();
        if !ours || !settled {
            return;
        }
        watched.trying = true;
        let (newest, roster) = (watched.memory.newest_term(), watched.roster.clone());
        let recorded = watched.recorded.clone();
        let (follower, lives) = (&mut self.follower, &mut self.lives);
        let mut desk = Desk {
            cluster,
            follower,
            token: Some(token),
            lives,
        };
        let attempt = Attempt::new(
            &mut desk,
            self.number,
            members,
            newest,
            roster,
            recorded,
            old,
        );
        self.attempts.push(attempt);
    }
}
