//! Tracks which servers of a group count for promotions: those that may have an acknowledged commit
//! that no other server has.
//!
//! A primary and the replica that acknowledged its last commits may be partitioned together, or the
//! replica may leave for good; a server promoted from the rest would lack those commits. So an
//! unregistered server counts until enough of the others have everything that the primary had after
//! it vanished. The list is kept in the store, where a new failover leader finds it. A server that
//! restarts under its id has lost its log, so its earlier incarnation has vanished.
//!
//! A server that has announced that it will stop confirms no commits [`LIST_VALIDITY`] later
//! ([`crate::commit::Standing::Retired`]). So it stops counting while it still runs, and its end leaves
//! nothing to be proved, even if the primary is lost at the same time.
//!
//! A crashed server may come back under another id, at its address. When that one answers there, the
//! earlier one has ended: its log is the new one's, or lost.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use dandelionpitch_core::{hash::Map, position::Position};

use crate::{
    fence,
    registry::{Incarnation, Role},
    takeover::{self, Member, Sight, Status},
    time::Moment,
};

/// How long a proxy may use the list of servers that it last read from the store: longer than the
/// longest request of its watch.
///
/// A replica and a proxy may be partitioned from the store together. The replica is then dropped
/// from the list, and the proxy would confirm commits that no quorum of the new list has. So a
/// proxy with an older list does not rely on single replicas, and a vanished server is dropped only
/// if the others have what the primary had after every proxy's list with that server had expired.
pub const LIST_VALIDITY: Duration = Duration::from_millis(6_000);

/// What decides, besides the members' statuses, whether a vanished server still counts.
#[derive(Clone, Copy, Debug)]
pub struct Basis<'a> {
    /// How many replicas must receive a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// The server that the group's record names as promoted last, if any.
    pub promoted: Option<&'a str>,
}

/// The addresses of servers that count for promotions, if no two servers run at one address.
pub type Addresses = BTreeMap<Incarnation, SocketAddr>;

/// A server that is no longer registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Vanished {
    /// When it was found missing.
    found: Moment,
    /// Since when it is known to be missing or to leave, or was last in use.
    since: Moment,
    /// Whether another server has answered at its address since it was found missing.
    has_successor: bool,
}

impl Vanished {
    fn new(now: Moment) -> Self {
        Self {
            found: now,
            since: now,
            has_successor: false,
        }
    }
}

/// The servers of one group that count for promotions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// Servers that are no longer registered.
    vanished: Map<Incarnation, Vanished>,
    /// Registered servers.
    present: Vec<Incarnation>,
    /// Since when registered servers are known to leave.
    retiring: Map<Incarnation, Moment>,
    /// The known addresses of all of these.
    addresses: Addresses,
}

impl Roster {
    /// Starts with the members of the group's record, all taken as vanished until they are seen.
    pub fn new(recorded: &[Incarnation], now: Moment) -> Self {
        let vanished = recorded.iter().map(|id| (id.clone(), Vanished::new(now)));
        let vanished = vanished.collect();
        Self {
            vanished,
            ..Self::default()
        }
    }

    /// Applies the current members, and drops vanished and leaving servers whose commits enough others
    /// have.
    ///
    /// The others have them once `sync_replicas` replicas besides the primary do, like any commit
    /// that is acknowledged now. A server may confirm further commits for [`LIST_VALIDITY`] after
    /// it was found missing or its announcement was seen, but not after it restarted under its id. If
    /// the record names another primary, one out of reach may have superseded the one in sight, so
    /// nothing is dropped early.
    pub fn update(&mut self, members: &[Member], basis: Basis<'_>, now: Moment) {
        self.update_present(members, basis, now);
        let required = 2.max(basis.sync_replicas as usize + 1);
        let is_covered = |position: Position, others: &[&Member]| {
            let holders = others.iter().filter(|member| has(member, position));
            let holders = holders.count();
            // All but at most one have it, so every quorum of them includes one that does.
            holders + 1 >= others.len() && holders >= required
        };
        let leader = takeover::leader(members).filter(|(leader, _)| leader.is_established);
        // A restored record may name an earlier primary for good, so this only delays the drop.
        let is_recorded =
            leader.is_some_and(|(leader, _)| basis.promoted.is_none_or(|id| id == leader.id.id));
        let staying: Vec<&Member> = members.iter().filter(|member| !member.leaving).collect();
        for member in members.iter().filter(|member| member.leaving) {
            let own = Some(member)
                .zip(member.status())
                .filter(|(member, _)| member.is_established);
            let proofs = [own, leader.filter(|_| is_recorded)];
            let is_proof = |proof: &(&Member, Status)| {
                self.is_retired(&member.id, proof.0.asked) && is_covered(proof.1.received, &staying)
            };
            if !leads(member, basis) && proofs.iter().flatten().any(is_proof) {
                self.present.retain(|id| *id != member.id);
            }
        }
        let Some((leader, status)) = leader else {
            return;
        };
        if !is_covered(status.received, &members.iter().collect::<Vec<_>>()) {
            return;
        }
        let present = &self.present;
        self.vanished.retain(|id, vanished| {
            let has_ended = vanished.has_successor || has_restarted(id, present);
            let may_confirm_until = match (is_recorded, has_ended) {
                (true, true) => vanished.found,
                (true, false) => vanished.since + LIST_VALIDITY,
                (false, _) => vanished.found.max(vanished.since) + LIST_VALIDITY,
            };
            leader.asked <= may_confirm_until
        });
    }

    /// Replaces the registered servers that count. One that leaves does so only if it counted before, as no
    /// proxy relies on one that has never been on the list, and while it leads or was promoted last.
    fn update_present(&mut self, members: &[Member], basis: Basis<'_>, now: Moment) {
        let is_member = |id: &Incarnation| members.iter().any(|member| member.id == *id);
        let before = std::mem::take(&mut self.present);
        let counted = |id: &Incarnation| before.contains(id) || self.vanished.contains_key(id);
        let counts = |member: &&Member| {
            member.retiring_since.is_none() || counted(&member.id) || leads(member, basis)
        };
        let present = members.iter().filter(counts);
        self.present = present.map(|member| member.id.clone()).collect();
        self.present.sort_unstable();
        for id in before.into_iter().filter(|id| !is_member(id)) {
            let since = self.retiring.get(&id).copied().unwrap_or(now);
            let vanished = Vanished {
                since,
                ..Vanished::new(now)
            };
            self.vanished.insert(id, vanished);
        }
        self.vanished.retain(|id, _| !is_member(id));
        let retiring = members.iter();
        self.retiring = retiring
            .filter_map(|member| Some((member.id.clone(), member.retiring_since?)))
            .collect();
        self.update_addresses(members);
        self.note_successors(members);
    }

    fn update_addresses(&mut self, members: &[Member]) {
        let located = members
            .iter()
            .filter_map(|member| Some((member.id.clone(), member.address?)));
        self.addresses.extend(located);
        let (present, vanished) = (&self.present, &self.vanished);
        self.addresses
            .retain(|id, _| vanished.contains_key(id) || present.contains(id));
    }

    /// Notes which vanished servers have a successor: a server that was asked after they were found missing,
    /// and has answered at their address under its own id.
    fn note_successors(&mut self, members: &[Member]) {
        for (id, vanished) in &mut self.vanished {
            let address = self.addresses.get(id).copied();
            let succeeds = |member: &Member| {
                member.address == address
                    && member.status().is_some()
                    && member.asked > vanished.found
            };
            vanished.has_successor |= address.is_some() && members.iter().any(succeeds);
        }
    }

    /// Whether no proxy relied any more on a leaving server when a status was requested at `asked`.
    fn is_retired(&self, id: &Incarnation, asked: Moment) -> bool {
        let since = self.retiring.get(id);
        since.is_some_and(|since| asked > *since + LIST_VALIDITY)
    }

    /// Adds the servers of a list that another process has recorded, registered or not.
    pub fn merge(&mut self, recorded: &[Incarnation], now: Moment) {
        for id in recorded {
            if !self.present.contains(id) {
                let vanished = self.vanished.entry(id.clone());
                vanished.or_insert_with(|| Vanished::new(now));
            }
        }
    }

    /// Notes that a vanished server is still in use at `now`: it may still be the only server to
    /// confirm a commit, so it is kept on the list as if it had vanished at `now`.
    pub fn note_in_use(&mut self, id: &Incarnation, now: Moment) {
        if let Some(vanished) = self.vanished.get_mut(id) {
            (vanished.found, vanished.since) = (now, now);
        }
    }

    /// Adds the addresses that another process has recorded for servers that count.
    pub fn merge_addresses(&mut self, recorded: &Addresses) {
        for (id, address) in recorded {
            self.addresses.entry(id.clone()).or_insert(*address);
        }
    }

    /// The known addresses of the servers that count.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Drops vanished servers whose commits enough others have, as another process has found.
    pub fn remove_covered(&mut self, covered: &[Incarnation]) {
        self.vanished.retain(|id, _| !covered.contains(id));
    }

    /// The number of servers that count.
    pub fn len(&self) -> usize {
        self.present.len() + self.vanished.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many members must be held before one of them may be promoted: [`fence::quorum`] of all
    /// that count, but no more than there are logs.
    ///
    /// A vanished server that has restarted, or has a successor, has no log of its own that could hold a
    /// commit. If every other server that counts is held, no server has a commit that none of the held has,
    /// and none can acknowledge another (`docs/DESIGN.md`, "Failover on the line protocol").
    pub fn quorum(&self, sync_replicas: u32) -> usize {
        let has_no_log = |(id, vanished): &(&Incarnation, &Vanished)| {
            vanished.has_successor || has_restarted(id, &self.present)
        };
        let ended = self.vanished.iter().filter(has_no_log);
        let logs = self.len() - ended.count();
        // A server that is not on the list proves nothing, even if all listed ones have ended.
        fence::quorum(self.len(), sync_replicas).min(logs.max(1))
    }

    /// All servers that count, sorted.
    pub fn ids(&self) -> Vec<Incarnation> {
        let mut ids: Vec<Incarnation> = self.present.clone();
        ids.extend(self.vanished.keys().cloned());
        ids.sort_unstable();
        ids
    }

    /// All servers that count once the member with the id `promoted` leads. One that leaves counts again.
    pub fn ids_with(&self, members: &[Member], promoted: &str) -> Vec<Incarnation> {
        let mut ids = self.ids();
        let promoted = members.iter().find(|member| member.id.id == promoted);
        ids.extend(promoted.map(|member| member.id.clone()));
        ids.sort_unstable();
        ids.dedup();
        ids
    }
}

/// The servers that count by either of two records of a group, either of which may be the earlier one,
/// as after a restore of the store from a backup.
///
/// A record that names a restarted server without its earlier incarnation was written after enough
/// others had the commits of the earlier one, which therefore does not count again.
pub fn union(one: &[Incarnation], other: &[Incarnation]) -> Vec<Incarnation> {
    let counts = |id: &&Incarnation, by: &[Incarnation]| by.contains(id) || !has_restarted(id, by);
    let mut members: Vec<Incarnation> = Vec::with_capacity(one.len());
    members.extend(one.iter().filter(|id| counts(id, other)).cloned());
    members.extend(other.iter().filter(|id| counts(id, one)).cloned());
    members.sort_unstable();
    members.dedup();
    members
}

/// Whether a member leads or was promoted last, so that it may confirm further commits.
fn leads(member: &Member, basis: Basis<'_>) -> bool {
    let is_promoted = basis.promoted == Some(member.id.id.as_str());
    let status = member.status();
    is_promoted || status.is_some_and(|status| status.role == Role::Primary)
}

/// Whether a server has restarted under its id since the incarnation `id`.
fn has_restarted(id: &Incarnation, present: &[Incarnation]) -> bool {
    present
        .iter()
        .any(|other| other.id == id.id && other.born > id.born)
}

/// Whether a member's log reaches `position`.
fn has(member: &Member, position: Position) -> bool {
    matches!(member.sight, Sight::Answered(status) if status.received >= position)
}
