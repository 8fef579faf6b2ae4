//! The control state of the process, all of it on one thread: the configuration, the servers, the
//! other proxies and the failover duty. Traffic only sees the published [`View`].

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    sync::{atomic::AtomicU64, Arc},
    time::Duration,
};

use dandelionpitch_core::hash::{Map, Set};
use dandelionpitch_engine::{
    catalog::{Catalog, Service},
    election::Election,
    era,
    feed::Subscription,
    members::Members,
    mirror::Update,
    ownership::{self, Allocation, Change, Limits, Peer, Query},
    registry::{Entry, Registry, Server},
    time::Moment,
};
use dandelionpitch_platform::{
    registration,
    store::{self, Event, Item, Store, Subject, Value},
};
use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    line::{
        clock,
        control::{
            entry::{self, DUTY},
            record,
        },
        journal,
        mirror::Handle,
        view::{Ownership, View},
    },
    metrics::Metrics,
};

/// The most unreadable entries that are remembered, so that another writer cannot fill the memory.
const MOST_UNREADABLE: usize = 500;

/// How this proxy takes statements of others.
#[derive(Clone, Copy, Debug)]
pub struct PeerPort {
    pub address: Option<SocketAddr>,
    pub capacity: f64,
}

/// The control state.
pub struct Control {
    /// This process's name and incarnation, unique among all that ever ran.
    pub name: String,
    pub started: Moment,
    pub id: String,
    pub dc: String,
    pub peer: PeerPort,
    /// Within which a new configuration has to be in force.
    pub config_within: Duration,
    pub metrics: Metrics,
    pub stopping: CancellationToken,
    pub store: RefCell<Store>,
    pub promoter: dandelionpitch_platform::promoter::Promoter,
    pub duty: RefCell<Election>,
    /// How many primaries are being replaced by this process.
    pub attempts: Cell<usize>,
    pub registry: RefCell<Registry>,
    pub records: RefCell<Map<String, record::Noted>>,
    pub(super) catalog: RefCell<Option<Arc<Catalog>>>,
    pub(super) members: RefCell<Members>,
    /// Entries among the registrations that are none.
    pub(super) unreadable: RefCell<Set<String>>,
    /// Whether the last source of changes answered.
    pub followed_lately: Cell<bool>,
    /// From whom changes of the store are heard.
    pub place: RefCell<Subscription>,
    /// What the store holds, as far as it was heard.
    pub mirror: Handle,
    /// Up to when no change of the store was missed, in milliseconds, as traffic sees it.
    pub followed: Arc<AtomicU64>,
    pub(super) publish: watch::Sender<Arc<View>>,
}

impl Control {
    /// A client of the store as it now is.
    pub fn store(&self) -> Store {
        self.store.borrow().clone()
    }

    /// The servers of a group and what is noted of them.
    pub fn servers_of(&self, service: &str) -> Vec<Entry> {
        self.registry.borrow().servers_of(service)
    }

    /// The groups of the configuration in force.
    pub fn services(&self) -> Vec<String> {
        let catalog = self.catalog.borrow();
        let services = catalog.iter().flat_map(|catalog| catalog.services.keys());
        services.cloned().collect()
    }

    /// How many replicas a commit of the group waits for.
    pub fn sync_replicas(&self, service: &str) -> u32 {
        let catalog = self.catalog.borrow();
        let service = catalog
            .as_ref()
            .and_then(|catalog| catalog.services.get(service));
        service.map_or(0, |service| service.sync_replicas)
    }

    /// Where another proxy is reached.
    pub fn address_of(&self, id: &str) -> Option<SocketAddr> {
        let view = self.publish.borrow();
        let peer = view.peers.iter().find(|peer| peer.id == id);
        peer.map(|peer| peer.address)
    }

    /// Takes everything that is in a store which came back from a copy.
    pub fn restore(&self, update: &Update<Value>) {
        let now = clock::now();
        journal::write("store restored", json!({ "era": era::of(update.revision) }));
        self.duty.borrow_mut().note_store_restored(now);
        self.take_all(&update.changes, Registry::restore);
        for noted in self.records.borrow_mut().values_mut() {
            noted.restore(update.revision);
        }
    }

    /// Takes everything that is in the store.
    pub fn replace(&self, events: &[Event]) {
        self.take_all(events, Registry::replace);
    }

    fn take_all(&self, events: &[Event], register: fn(&mut Registry, Vec<Server>, Moment)) {
        let now = clock::now();
        let mut servers = Vec::new();
        let mut members = Vec::new();
        let mut holder = None;
        for event in events {
            let Event::Written(item) = event else {
                continue;
            };
            match store::subject(&item.key) {
                Subject::Config => self.configure(&item.value),
                Subject::Server(id) => servers.extend(self.read_server(id, &item.value)),
                Subject::Proxy(key) => {
                    if key == DUTY {
                        let name = String::from_utf8_lossy(&item.value).into_owned();
                        holder = Some((name, item.revision));
                    } else if let Some(name) = entry::name(key) {
                        members.push((name.to_owned(), self.read_peer(name, &item.value)));
                    } else {
                        self.note_record(item, now);
                    }
                }
                Subject::Other => {}
            }
        }
        register(&mut self.registry.borrow_mut(), servers, now);
        self.members.borrow_mut().replace(members.into_iter(), now);
        let holder = holder
            .as_ref()
            .map(|(name, revision)| (name.as_str(), *revision));
        self.duty.borrow_mut().note_holder(holder);
        self.publish();
    }

    /// Takes changes of the store.
    pub fn apply(&self, events: &[Event]) {
        if events.is_empty() {
            return;
        }
        let now = clock::now();
        for event in events {
            match event {
                Event::Written(item) => self.written(item, now),
                Event::Removed { key, .. } => self.removed(key, now),
            }
        }
        self.publish();
    }

    fn written(&self, item: &Item, now: Moment) {
        match store::subject(&item.key) {
            Subject::Config => self.configure(&item.value),
            Subject::Server(id) => {
                let Some(server) = self.read_server(id, &item.value) else {
                    return self.registry.borrow_mut().mark_missing(id, now);
                };
                if self.registry.borrow_mut().put(server.clone(), now) {
                    journal::write(
                        "server",
                        json!({ "id": server.incarnation, "service": server.service,
                            "leaving": server.leaving, "role": format!("{:?}", server.role),
                            "revision": item.revision }),
                    );
                }
            }
            Subject::Proxy(key) if key == DUTY => {
                let name = String::from_utf8_lossy(&item.value);
                self.duty
                    .borrow_mut()
                    .note_holder(Some((&name, item.revision)));
            }
            Subject::Proxy(key) => match entry::name(key) {
                Some(name) => {
                    let peer = self.read_peer(name, &item.value);
                    self.members.borrow_mut().mark_present(name, peer);
                }
                None => self.note_record(item, now),
            },
            Subject::Other => {}
        }
    }

    fn removed(&self, key: &str, now: Moment) {
        match store::subject(key) {
            Subject::Server(id) => {
                journal::write("server", json!({ "id": id, "missing": true }));
                self.registry.borrow_mut().mark_missing(id, now);
            }
            Subject::Proxy(key) if key == DUTY => self.duty.borrow_mut().note_holder(None),
            Subject::Proxy(key) => {
                if let Some(name) = entry::name(key) {
                    self.members.borrow_mut().mark_missing(name, now);
                }
            }
            Subject::Config | Subject::Other => {}
        }
    }

    /// Reads a registration; `None` if it is none, as other writers use the same store. That is said
    /// once, until the entry is readable again.
    fn read_server(&self, id: &str, value: &[u8]) -> Option<Server> {
        let mut unreadable = self.unreadable.borrow_mut();
        match registration::decode(id, value) {
            Ok(server) => {
                if unreadable.remove(id) {
                    journal::write("registration", json!({ "id": id, "readable": true }));
                }
                Some(server)
            }
            Err(error) => {
                self.metrics.entry_passed_over();
                let known =
                    unreadable.len() >= MOST_UNREADABLE || !unreadable.insert(id.to_owned());
                if !known {
                    journal::trouble("registration", &error.to_string());
                }
                None
            }
        }
    }

    /// Reads another proxy's entry; one that is none still counts as a proxy, but gets no statements.
    fn read_peer(&self, name: &str, value: &[u8]) -> Option<Peer> {
        entry::peer(name, value).unwrap_or_else(|error| {
            self.metrics.entry_passed_over();
            journal::trouble("member", &format!("{name}: {error}"));
            None
        })
    }

    fn note_record(&self, item: &Item, now: Moment) {
        record::Noted::read(item, &mut self.records.borrow_mut(), now);
    }

    /// Drops servers whose entries stayed missing up to `known`, until when no change was missed.
    pub fn expire(&self, known: Moment) {
        let gone = self.registry.borrow_mut().expire(known);
        let members = self.members.borrow_mut().count(clock::now());
        let peers = self.members.borrow().peers(clock::now());
        let view = self.publish.borrow().clone();
        if (members, &peers) != (view.proxy_count, &view.peers) {
            self.publish();
        }
        if !gone.is_empty() {
            journal::write("servers gone", json!({ "ids": gone }));
            self.publish();
        }
    }

    fn configure(&self, value: &[u8]) {
        let catalog = match dandelionpitch_platform::config::decode(value) {
            Ok(catalog) => catalog,
            Err(error) => return journal::trouble("configuration", &error.to_string()),
        };
        let current = self.catalog.borrow().clone();
        if catalog.replaces(current.as_deref()) {
            let before = current.map_or(0, |current| current.version);
            journal::write(
                "configuration",
                json!({ "version": catalog.version, "before": before, "routes": catalog.routes.len() }),
            );
            self.metrics.version(catalog.version);
            *self.catalog.borrow_mut() = Some(Arc::new(catalog));
        }
    }

    /// Who owns a group, from who owned it in the view `before`.
    fn ownership(
        &self,
        name: &str,
        service: &Service,
        now: &View,
        (before, change): (&View, &Change<'_>),
    ) -> Ownership {
        let slots = now.servers[name].iter().map(|entry| entry.server.slots);
        let limits = Limits {
            max_connections: service.max_connections,
            slots: slots.min().unwrap_or(1),
        };
        let dcs: Set<&str> = now.peers.iter().map(|peer| peer.dc.as_str()).collect();
        let allocation = Allocation::new(now.proxy_count, dcs.len(), limits);
        let query = Query {
            own: &self.id,
            dc: &self.dc,
            service: name,
        };
        let known = before.ownership.get(name);
        let plan = match known.filter(|known| known.allocation == allocation) {
            Some(known) => ownership::replan(&known.plan, change, &now.peers, query, allocation),
            None => ownership::plan(&now.peers, &self.id, &self.dc, name, allocation),
        };
        Ownership { allocation, plan }
    }

    fn publish(&self) {
        let registry = self.registry.borrow();
        let catalog = self.catalog.borrow().clone();
        let mut servers = Map::default();
        for service in catalog.iter().flat_map(|catalog| catalog.services.keys()) {
            servers.insert(service.clone(), registry.servers_of(service));
        }
        let records = self.records.borrow();
        let counted = |(name, noted): (&String, &record::Noted)| {
            let members = noted.record.members.clone();
            (name.clone(), members)
        };
        let now = clock::now();
        let mut members = self.members.borrow_mut();
        let (count, peers) = (members.count(now), members.peers(now));
        let before = self.publish.borrow().clone();
        if before.peers != peers {
            self.place
                .replace(Subscription::new(&peers, &self.id, &self.dc));
        }
        let mut view = View {
            catalog,
            servers,
            voters: records.iter().map(counted).collect(),
            proxy_count: count,
            peers,
            ownership: Map::default(),
        };
        let change = Change::new(&before.peers, &view.peers);
        let services = view.catalog.iter().flat_map(|catalog| &catalog.services);
        let ownership = services.map(|(name, service)| {
            let ownership = self.ownership(name, service, &view, (&before, &change));
            (name.clone(), ownership)
        });
        view.ownership = ownership.collect();
        self.publish.send_replace(Arc::new(view));
    }
}
