//! The state of the control thread: the configuration, the servers, the other proxies and the failover
//! leadership. The traffic thread sees only the published [`View`].

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    sync::{atomic::AtomicU64, Arc},
};

use dandelionpitch_core::hash::Set;
use dandelionpitch_engine::{
    catalog::Catalog,
    election::Election,
    era,
    feed::{Budget, Subscription},
    members::Members,
    mirror::Update,
    ownership::Peer,
    registry::{Entry, Registry, Server},
    seed,
    time::Moment,
};
use dandelionpitch_platform::{
    registration,
    store::{self, Event, Item, Lease, Store, Subject, Value},
};
use serde_json::json;
use tokio::sync::{watch, Notify};
use tokio_util::sync::CancellationToken;

use crate::{
    line::{
        clock,
        control::{
            keys::{self, LEADER},
            record,
        },
        journal,
        mirror::Handle,
        restart::Observers,
        view::View,
    },
    metrics::Metrics,
};

/// Bounds the memory for invalid registrations, as other programs write to the same store.
const MAX_INVALID_REGISTRATIONS: usize = 500;

/// Where this proxy accepts statements from other proxies, if it does, and its weight among them.
#[derive(Clone, Copy, Debug)]
pub struct PeerEndpoint {
    pub address: Option<SocketAddr>,
    pub capacity: f64,
}

/// The state shared by the tasks of the control thread.
pub struct Control {
    /// The proxy's id and start time, unique to this process.
    pub name: String,
    pub started_at: Moment,
    pub id: String,
    pub dc: String,
    pub peer: PeerEndpoint,
    /// How the time within which a new configuration must take effect is divided.
    pub budget: Budget,
    pub metrics: Metrics,
    pub stopping: CancellationToken,
    pub store: RefCell<Store>,
    pub promoter: dandelionpitch_platform::promoter::Promoter,
    pub election: RefCell<Election>,
    /// Notified when the leadership may have become vacant.
    pub vacated: Notify,
    /// Notified when this process has become the failover leader.
    pub elected: Notify,
    /// The number of active failover attempts.
    pub active_attempts: Cell<usize>,
    pub registry: RefCell<Registry>,
    /// The groups' records.
    pub records: RefCell<record::Records>,
    pub(super) catalog: RefCell<Option<Arc<Catalog>>>,
    pub(super) members: RefCell<Members>,
    /// Whether operations of client accounts are limited, so that it matters whether this proxy was
    /// registered before.
    pub has_quotas: bool,
    /// Whether an earlier process of this proxy was registered when this one started; `None` until that is
    /// known.
    pub predecessor: Cell<Option<bool>>,
    /// Whether this proxy's own entry is known only from a seed's copy, which may have that of an earlier
    /// process that has expired since.
    pub is_unconfirmed: Cell<bool>,
    /// Whether the store answers, until there is a copy of its content.
    pub store_state: watch::Sender<seed::Store>,
    /// The ids of servers whose registrations cannot be decoded.
    pub(super) invalid_registrations: RefCell<Set<String>>,
    /// The lease of this proxy's entry.
    pub lease: Cell<Option<Lease>>,
    /// Whether this proxy is announced as a relay to starting ones.
    pub is_announced: Cell<bool>,
    /// Whether any source of changes responds.
    pub is_following: Cell<bool>,
    /// The sources of changes of the store.
    pub subscription: RefCell<Subscription>,
    /// This process's copy of the store's content.
    pub mirror: Handle,
    /// What the servers' statuses prove about their incarnations.
    pub observers: Observers,
    /// A failover waits for a list of registrations as of this time.
    pub list_needed_at: Cell<Option<Moment>>,
    /// The time up to which no change of the store was missed, shared with the traffic thread.
    pub synced_until_ms: Arc<AtomicU64>,
    pub(super) publish: watch::Sender<Arc<View>>,
}

impl Control {
    /// A clone of the current store client. Earlier clones keep the connections that
    /// [`Store::reconnect`] discards.
    pub fn store(&self) -> Store {
        self.store.borrow().clone()
    }

    /// The servers of a group and the state of their registrations.
    pub fn servers_of(&self, service: &str) -> Arc<[Entry]> {
        self.registry.borrow().servers_of(service)
    }

    /// The configuration in force, if one has been read.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// How many replicas have to receive a commit of the group.
    pub fn sync_replicas(&self, service: &str) -> u32 {
        let catalog = self.catalog.borrow();
        let service = catalog
            .as_ref()
            .and_then(|catalog| catalog.services.get(service));
        service.map_or(0, |service| service.sync_replicas)
    }

    /// Whether this proxy is in its own list of live proxies, as the store has it.
    pub fn is_registered(&self) -> bool {
        !self.is_unconfirmed.get() && self.publish.borrow().peer(&self.id).is_some()
    }

    /// Where another proxy accepts connections from this one, if it is known.
    pub fn address_of(&self, id: &str) -> Option<SocketAddr> {
        let view = self.publish.borrow();
        view.peer(id).map(|peer| peer.address)
    }

    /// Applies the complete content of a store that was restored from a backup.
    pub fn apply_restored(&self, update: &Update<Value>) {
        let now = clock::now();
        journal::write("store restored", json!({ "era": era::of(update.revision) }));
        self.election.borrow_mut().note_store_restored(now);
        self.is_unconfirmed.set(false);
        self.apply_all(&update.changes, Registry::restore);
        self.records
            .borrow_mut()
            .note_store_restored(update.revision);
    }

    /// Applies the complete content of the store.
    pub fn apply_snapshot(&self, events: &[Event]) {
        self.is_unconfirmed.set(false);
        self.apply_all(events, Registry::replace);
    }

    /// Applies the complete content as a seed had it. It shows neither whether this proxy is registered nor
    /// whether an earlier process of it was when this one started.
    pub fn apply_seed_copy(&self, events: &[Event]) {
        self.is_unconfirmed.set(true);
        self.apply_all(events, Registry::replace);
    }

    fn apply_all(&self, events: &[Event], register: fn(&mut Registry, Vec<Server>, Moment)) {
        let now = clock::now();
        let mut servers = Vec::new();
        let mut members = Vec::new();
        let mut leader = None;
        for event in events {
            let Event::Written(item) = event else {
                continue;
            };
            match store::subject(&item.key) {
                Subject::Config => self.apply_config(item),
                Subject::Server(id) => servers.extend(self.decode_server(id, &item.value)),
                Subject::Proxy(key) => {
                    if key == LEADER {
                        let name = String::from_utf8_lossy(&item.value).into_owned();
                        leader = Some((name, item.revision));
                    } else if let Some(id) = keys::member_id(key) {
                        self.note_predecessor(id, &item.value);
                        members.push((id.to_owned(), self.decode_peer(id, &item.value)));
                    } else {
                        self.note_record(item, now);
                    }
                }
                Subject::Other => {}
            }
        }
        register(&mut self.registry.borrow_mut(), servers, now);
        self.members.borrow_mut().replace(members.into_iter(), now);
        let leader = leader
            .as_ref()
            .map(|(name, revision)| (name.as_str(), *revision));
        self.note_leader(leader);
        self.publish();
    }

    /// Applies changes of the store.
    pub fn apply_changes(&self, events: &[Event]) {
        if events.is_empty() {
            return;
        }
        let now = clock::now();
        for event in events {
            match event {
                Event::Written(item) => self.apply_write(item, now),
                Event::Removed { key, .. } => self.apply_removal(key, now),
            }
        }
        self.publish();
    }

    fn apply_write(&self, item: &Item, now: Moment) {
        match store::subject(&item.key) {
            Subject::Config => self.apply_config(item),
            Subject::Server(id) => {
                let Some(server) = self.decode_server(id, &item.value) else {
                    return self.registry.borrow_mut().mark_missing(id, now);
                };
                if self.registry.borrow_mut().put(server.clone(), now) {
                    journal::write(
                        "server",
                        json!({ "id": server.incarnation, "service": server.service,
                            "leaving": server.leaving, "role": format!("{:?}", server.role),
                            "address": server.address.to_string(),
                            "revision": item.revision }),
                    );
                }
            }
            Subject::Proxy(key) if key == LEADER => {
                let name = String::from_utf8_lossy(&item.value);
                self.note_leader(Some((&name, item.revision)));
            }
            Subject::Proxy(key) => match keys::member_id(key) {
                Some(id) => {
                    if id == self.id {
                        self.is_unconfirmed.set(false);
                    }
                    let peer = self.decode_peer(id, &item.value);
                    self.members.borrow_mut().mark_present(id, peer);
                }
                None => self.note_record(item, now),
            },
            Subject::Other => {}
        }
    }

    fn apply_removal(&self, key: &str, now: Moment) {
        match store::subject(key) {
            Subject::Server(id) => {
                journal::write("server", json!({ "id": id, "missing": true }));
                self.registry.borrow_mut().mark_missing(id, now);
            }
            Subject::Proxy(key) if key == LEADER => self.note_leader(None),
            Subject::Proxy(key) => {
                if let Some(id) = keys::member_id(key) {
                    self.members.borrow_mut().mark_missing(id, now);
                }
            }
            Subject::Config | Subject::Other => {}
        }
    }

    fn note_leader(&self, leader: Option<(&str, u64)>) {
        self.election.borrow_mut().note_leader(leader);
        if leader.is_none() {
            self.vacated.notify_one();
        }
    }

    /// Decodes a registration. Returns `None` if it is invalid, as other programs write to the same store;
    /// this is logged once until the registration is valid again.
    fn decode_server(&self, id: &str, value: &[u8]) -> Option<Server> {
        let mut invalid = self.invalid_registrations.borrow_mut();
        match registration::decode(id, value) {
            Ok(server) => {
                if invalid.remove(id) {
                    journal::write("registration", json!({ "id": id, "readable": true }));
                }
                Some(server)
            }
            Err(error) => {
                self.metrics.invalid_entry();
                let skip_log =
                    invalid.len() >= MAX_INVALID_REGISTRATIONS || !invalid.insert(id.to_owned());
                if !skip_log {
                    journal::trouble("registration", &error.to_string());
                }
                None
            }
        }
    }

    /// Decodes another proxy's entry. A proxy with an invalid entry shares the connections to the servers
    /// like any other, but no statements are forwarded to it.
    fn decode_peer(&self, id: &str, value: &[u8]) -> Option<Peer> {
        keys::decode_member(id, value).unwrap_or_else(|error| {
            self.metrics.invalid_entry();
            journal::trouble("member", &format!("{id}: {error}"));
            None
        })
    }

    /// Records an entry in the first list that an earlier process of this proxy has written.
    fn note_predecessor(&self, id: &str, value: &[u8]) {
        let is_first_list = self.publish.borrow().peers.is_empty() && !self.is_unconfirmed.get();
        if is_first_list && id == self.id && self.is_predecessor(value) {
            self.predecessor.set(Some(true));
        }
    }

    /// Whether an entry of this proxy was written by an earlier process.
    pub fn is_predecessor(&self, value: &[u8]) -> bool {
        keys::member_process(value).is_some_and(|name| name != self.name)
    }

    fn note_record(&self, item: &Item, now: Moment) {
        self.records.borrow_mut().insert_item(item, now);
    }

    /// Drops servers and proxies that have been missing for too long, and publishes the result. No
    /// change of the store up to `synced_until` was missed.
    pub fn expire(&self, synced_until: Moment) {
        let expired = self.registry.borrow_mut().expire(synced_until);
        let proxy_count = self.members.borrow_mut().count(clock::now());
        let peers = self.members.borrow_mut().peers(clock::now());
        let view = self.publish.borrow().clone();
        let same_peers = Arc::ptr_eq(&peers, &view.peers);
        if !expired.is_empty() {
            journal::write("servers gone", json!({ "ids": expired }));
        }
        if !expired.is_empty() || !same_peers || proxy_count != view.proxy_count {
            self.publish();
        }
    }

    fn apply_config(&self, item: &Item) {
        let catalog = match dandelionpitch_platform::config::decode(&item.value) {
            Ok(catalog) => catalog,
            Err(error) => return journal::trouble("configuration", &error.to_string()),
        };
        let current = self.catalog.borrow().clone();
        if catalog.replaces(current.as_deref()) {
            let before = current.map_or(0, |current| current.version);
            journal::write(
                "configuration",
                json!({ "version": catalog.version, "before": before, "routes": catalog.routes.len(),
                    "revision": item.revision, "age_ms": self.mirror.report().age_ms }),
            );
            self.metrics.version(catalog.version);
            log_faults(&catalog);
            *self.catalog.borrow_mut() = Some(Arc::new(catalog));
        }
    }

    /// Publishes the current state. Costs little more than what has changed, as each change of the
    /// store is published by every proxy.
    fn publish(&self) {
        let now = clock::now();
        let mut members = self.members.borrow_mut();
        let (count, peers) = (members.count(now), members.peers(now));
        if !Arc::ptr_eq(&self.publish.borrow().peers, &peers) {
            self.subscription
                .replace(Subscription::new(&peers, &self.id, &self.dc));
        }
        let view = View {
            catalog: self.catalog.borrow().clone(),
            servers: self.registry.borrow().groups().clone(),
            voters: self.records.borrow().voters().clone(),
            proxy_count: count,
            quota_members: members.quota_count(now),
            has_predecessor: self.predecessor.get() == Some(true),
            is_unconfirmed: self.is_unconfirmed.get(),
            peers,
        };
        self.publish.send_replace(Arc::new(view));
    }
}

/// Logs the first fault of a configuration and the number of others. A bad configuration must not
/// stop the proxy, so it is applied nevertheless.
fn log_faults(catalog: &Catalog) {
    let Some((first, others)) = catalog.faults().split_first() else {
        return;
    };
    let (version, others) = (catalog.version, others.len());
    journal::trouble(
        "configuration",
        &format!("version {version}: {first}; {others} other faults"),
    );
}
