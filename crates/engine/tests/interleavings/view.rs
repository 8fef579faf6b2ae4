//! How a process follows the store: a view that may be old, with servers that are missed for a while.

use std::net::SocketAddr;

use dandelionpitch_core::hash::{self, Map};
use dandelionpitch_engine::{
    feed::MAX_RELAY_AGE,
    registry::{Entry, Incarnation, Registry, Role, Server},
};

use super::{
    cluster::{moment, steps, Cluster},
    message::{Record, Store},
    scenario::{Node, STORE},
};

/// The name of the only group.
const GROUP: &str = "group";

/// A record and when its last promotion was first seen.
#[derive(Clone, Debug)]
pub struct Noted {
    pub revision: u64,
    pub record: Record,
    pub promoted: u64,
}

pub struct Follower {
    pub node: Node,
    registry: Registry,
    next: u64,
    /// Up to when no change was missed.
    pub followed: u64,
    pub recorded: Option<Noted>,
    /// The holder of the duty, as last seen.
    pub duty: Option<(usize, u64)>,
}

impl Follower {
    pub fn new(node: Node) -> Self {
        Self {
            node,
            registry: Registry::default(),
            next: 0,
            followed: 0,
            recorded: None,
            duty: None,
        }
    }

    /// Hears what the store holds if it is time to, from the store if that is in reach or from a proxy
    /// that heard it earlier; returns whether it did.
    pub fn step(&mut self, cluster: &mut Cluster) -> bool {
        if cluster.now < self.next {
            return false;
        }
        let Some((known, store)) = self.hear(cluster) else {
            return false;
        };
        let now = moment(cluster.now);
        let registered: Map<usize, (Incarnation, bool)> = store.registered;
        let servers = registered.values().map(|(id, leaving)| Server {
            incarnation: id.clone(),
            service: GROUP.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            dc: String::new(),
            slots: 1,
            role: Role::Replica,
            leaving: *leaving,
        });
        if cluster.now - self.followed > 40 {
            self.registry.restart_expiry(now);
        }
        self.registry.replace(servers.collect(), now);
        self.registry.expire(moment(known));
        if let Some((revision, record)) = store.record {
            self.note(revision, record, cluster.now);
        }
        self.duty = store.duty.map(|(holder, token, _)| (holder, token));
        self.followed = known;
        self.next = cluster.now + 1 + cluster.draw(20);
        true
    }

    /// What the store holds, and as of when. What another proxy says is as old as it heard it, and may come though
    /// the store itself is out of reach.
    fn hear(&self, cluster: &Cluster) -> Option<(u64, Store)> {
        let (heard, store) = &cluster.fed;
        let fresh = cluster.now - heard <= steps(MAX_RELAY_AGE) && *heard >= self.followed;
        let asks_peer = hash::stable_hash(&(cluster.now, self.node)).is_multiple_of(2);
        match asks_peer && fresh {
            true => Some((*heard, store.clone())),
            false => cluster
                .reach(self.node, STORE)
                .then(|| (cluster.now, cluster.store.clone())),
        }
    }

    /// Notes a record, unless a later one is known.
    pub fn note(&mut self, revision: u64, record: Record, now: u64) {
        let old = self.recorded.as_ref();
        if old.is_some_and(|old| old.revision >= revision) {
            return;
        }
        let same = old.filter(|old| old.record.promotions == record.promotions);
        let promoted = same.map_or(now, |old| old.promoted);
        self.recorded = Some(Noted {
            revision,
            record,
            promoted,
        });
    }

    pub fn entries(&self) -> Vec<Entry> {
        self.registry.servers_of(GROUP)
    }
}

/// The index of a server.
pub fn index(id: &Incarnation) -> usize {
    id.id[1..]
        .parse()
        .expect("the model names servers by number")
}
