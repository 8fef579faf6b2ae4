//! The registered backend servers, including those whose registration disappeared recently.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dandelionpitch_core::hash::{Map, Set};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{roster::LIST_VALIDITY, time::Moment};

/// How long an entry may be missing from the store before its server is dropped. The platform
/// guarantees that entries lost in a store outage reappear within about two seconds after it.
pub const MISSING_TIMEOUT: Duration = Duration::from_millis(2_600);

/// How long a leaving server is still given work that no other server can run, counted from the
/// earliest time at which it may have announced that it will stop. Shorter than the time the
/// platform gives it (7 s), so that in-flight statements finish.
pub const DRAIN_GRACE: Duration = Duration::from_millis(5_000);

/// How long the announcement of a dropped server is remembered. Leaving servers stop within seconds.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);

/// A server's role by its own report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// One incarnation of a backend server. A server that restarts under its id has an empty log and
/// has lost the orders it was given, so nothing known of the earlier incarnation applies to the new
/// one.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, Serialize)]
#[display("{id}@{born}")]
#[serde(from = "String", into = "String")]
pub struct Incarnation {
    pub id: String,
    /// When it started, in Unix milliseconds by its own clock; 0 if unknown.
    pub born: u64,
}

impl Incarnation {
    /// Whether its birth is known. If not, a later incarnation cannot be told from it by its registration.
    pub fn is_dated(&self) -> bool {
        self.born != 0
    }
}

impl From<&str> for Incarnation {
    fn from(text: &str) -> Self {
        let parts = text.rsplit_once('@');
        let parsed = parts.and_then(|(id, born)| Some((id, born.parse().ok()?)));
        let (id, born) = parsed.unwrap_or((text, 0));
        let id = id.to_owned();
        Self { id, born }
    }
}

impl From<String> for Incarnation {
    fn from(text: String) -> Self {
        Self::from(text.as_str())
    }
}

impl From<Incarnation> for String {
    fn from(incarnation: Incarnation) -> Self {
        incarnation.to_string()
    }
}

/// One registered backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    pub incarnation: Incarnation,
    /// The database group it belongs to.
    pub service: String,
    pub address: SocketAddr,
    pub dc: String,
    /// How many statements it runs concurrently.
    pub slots: u32,
    pub role: Role,
    /// Whether it has announced that it will stop.
    pub leaving: bool,
}

/// A server and the state of its registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub server: Arc<Server>,
    /// When its entry was found missing from the store.
    pub missing_since: Option<Moment>,
    /// The earliest time at which it may have announced that it will stop.
    pub leaving_since: Option<Moment>,
    /// When this process first saw that announcement.
    pub leaving_seen: Option<Moment>,
}

impl Server {
    /// The id under which it registers, the same for all its incarnations.
    pub fn id(&self) -> &str {
        &self.incarnation.id
    }
}

impl Entry {
    /// Whether the server may be given new work.
    pub fn takes_work(&self, now: Moment) -> bool {
        self.takes_work_until().is_none_or(|until| now < until)
    }

    /// Whether it may have announced that it will stop more than [`LIST_VALIDITY`] ago. By then each proxy
    /// with a current list knows of the announcement, and relies on the server no longer.
    pub fn is_retired(&self, now: Moment) -> bool {
        self.leaving_since
            .is_some_and(|since| now >= since + LIST_VALIDITY)
    }

    /// When the server stops accepting new work, if it is leaving.
    pub fn takes_work_until(&self) -> Option<Moment> {
        self.leaving_since.map(|since| since + DRAIN_GRACE)
    }
}

/// The servers of each group, sorted by incarnation. Groups without servers are absent.
pub type Groups = Map<Arc<str>, Arc<[Entry]>>;

/// The known servers by id.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: Map<String, Entry>,
    /// The same entries by group. A change builds only its own group anew, so that its cost does not
    /// grow with the number of groups.
    groups: Arc<Groups>,
    /// The time up to which no change of the store has been missed.
    synced_until: Option<Moment>,
    /// The last entries of leaving servers that were dropped. One that registers again has not announced
    /// that it will stop just now.
    dropped_leaving: Map<Incarnation, Entry>,
}

impl Registry {
    /// Notes that no change of the store up to `moment` was missed. A starting proxy passes the
    /// start of the VM, as a server may have announced its stop at any time since.
    ///
    /// The drain period counts from the last such moment: by the time a proxy learns of an
    /// announcement after an outage of the store, the server may be about to stop.
    pub fn note_synced(&mut self, moment: Moment) {
        self.synced_until = Some(moment);
    }

    /// Inserts or updates an entry read from the store; returns whether anything changed. A late
    /// heartbeat of an earlier incarnation changes nothing.
    pub fn put(&mut self, server: Server, now: Moment) -> bool {
        let old = self.entries.get(server.id());
        let born = server.incarnation.born;
        if old.is_some_and(|old| old.server.incarnation.born > born) {
            return false;
        }
        let old = old.filter(|old| old.server.incarnation.born == born);
        if old.is_some_and(|old| *old.server == server && old.missing_since.is_none()) {
            return false;
        }
        let earliest = self.synced_until.map_or(now, |synced| synced.min(now));
        let dropped = self.dropped_leaving.get(&server.incarnation);
        let before = old.or(dropped).filter(|_| server.leaving);
        let leaving_since = before.and_then(|old| old.leaving_since);
        let leaving_seen = before.and_then(|old| old.leaving_seen);
        let is_leaving = server.leaving;
        let entry = Entry {
            server: Arc::new(server),
            missing_since: None,
            leaving_since: leaving_since.or(is_leaving.then_some(earliest)),
            leaving_seen: leaving_seen.or(is_leaving.then_some(now)),
        };
        self.insert(entry);
        true
    }

    /// Inserts an entry, or replaces the one with the same id, which may be of another group.
    fn insert(&mut self, entry: Entry) {
        let id = entry.server.id().to_owned();
        let old = self.entries.insert(id, entry.clone());
        let moved = old.filter(|old| old.server.service != entry.server.service);
        if let Some(old) = moved {
            self.rebuild_group(&old, None);
        }
        self.rebuild_group(&entry, Some(&entry));
    }

    /// Replaces the servers with the id of `changed` in its group by `current`.
    fn rebuild_group(&mut self, changed: &Entry, current: Option<&Entry>) {
        let server = &changed.server;
        let groups = Arc::make_mut(&mut self.groups);
        let known = groups.get(server.service.as_str());
        let others = known.iter().flat_map(|entries| entries.iter());
        let others = others.filter(|entry| entry.server.id() != server.id());
        let mut entries: Vec<Entry> = others.chain(current).cloned().collect();
        entries.sort_by(|a, b| a.server.incarnation.cmp(&b.server.incarnation));
        match entries.is_empty() {
            true => groups.remove(server.service.as_str()),
            false => groups.insert(server.service.as_str().into(), entries.into()),
        };
    }

    /// Notes that an entry is missing from the store. The server is kept for [`MISSING_TIMEOUT`].
    ///
    /// Entries may expire while the store is down, so all servers may be missing when it is back. A
    /// server is dropped only if its entry stays missing while the store answers.
    pub fn mark_missing(&mut self, id: &str, now: Moment) {
        let present = self.entries.get(id);
        let present = present.filter(|entry| entry.missing_since.is_none());
        if let Some(mut entry) = present.cloned() {
            entry.missing_since = Some(now);
            self.insert(entry);
        }
    }

    /// Applies a complete list; servers that are not in it are missing.
    pub fn replace(&mut self, servers: Vec<Server>, now: Moment) {
        let present: Set<&str> = servers.iter().map(Server::id).collect();
        let absent: Vec<String> = self
            .entries
            .keys()
            .filter(|id| !present.contains(id.as_str()))
            .cloned()
            .collect();
        for id in absent {
            self.mark_missing(&id, now);
        }
        for server in servers {
            self.put(server, now);
        }
    }

    /// Applies the complete list of a store that was restored from a backup.
    ///
    /// The backup may predate a server's announcement that it will stop. The server still counts as
    /// leaving until it writes its entry again with its next heartbeat.
    pub fn restore(&mut self, mut servers: Vec<Server>, now: Moment) {
        for server in &mut servers {
            let known = self.entries.get(server.id());
            let same = known.filter(|known| known.server.incarnation == server.incarnation);
            server.leaving |= same.is_some_and(|known| known.server.leaving);
        }
        self.replace(servers, now);
    }

    /// Drops servers that have been missing for [`MISSING_TIMEOUT`]; returns their ids. Must be
    /// called only while the store answers, so that outages do not count.
    pub fn expire(&mut self, now: Moment) -> Vec<String> {
        let is_expired = |entry: &Entry| {
            entry
                .missing_since
                .is_some_and(|since| now.since(since) >= MISSING_TIMEOUT)
        };
        let ids: Vec<String> = self
            .entries
            .values()
            .filter(|entry| is_expired(entry))
            .map(|entry| entry.server.id().to_owned())
            .collect();
        for id in &ids {
            if let Some(entry) = self.entries.remove(id) {
                self.rebuild_group(&entry, None);
                self.remember_leaving(entry, now);
            }
        }
        ids
    }

    fn remember_leaving(&mut self, entry: Entry, now: Moment) {
        let is_recent = |entry: &Entry| {
            let seen = entry.leaving_seen;
            seen.is_some_and(|seen| now.since(seen) < LEAVING_MEMORY)
        };
        self.dropped_leaving.retain(|_, dropped| is_recent(dropped));
        if entry.leaving_seen.is_some() {
            let id = entry.server.incarnation.clone();
            self.dropped_leaving.insert(id, entry);
        }
    }

    /// Restarts the timeout of all missing entries, because the store was unreachable.
    pub fn restart_expiry(&mut self, now: Moment) {
        let missing = self.entries.values();
        let missing = missing.filter(|entry| entry.missing_since.is_some());
        let missing: Vec<Entry> = missing.cloned().collect();
        for mut entry in missing {
            entry.missing_since = Some(now);
            self.insert(entry);
        }
    }

    /// When the next missing server is due to be dropped.
    pub fn next_expiry(&self) -> Option<Moment> {
        let missing = self.entries.values().filter_map(|e| e.missing_since);
        missing.min().map(|since| since + MISSING_TIMEOUT)
    }

    /// The servers of one group, sorted by incarnation.
    pub fn servers_of(&self, service: &str) -> Arc<[Entry]> {
        self.groups.get(service).cloned().unwrap_or_default()
    }

    /// The servers of all groups. Those of a group that did not change are the same allocation as
    /// before.
    pub fn groups(&self) -> &Arc<Groups> {
        &self.groups
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
