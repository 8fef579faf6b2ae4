//! Limits the operations of each client account over all proxies together (`docs/DESIGN.md`,
//! "Quotas").
//!
//! Every operation uses one permit, which is valid for a short time after it was issued. Each of N proxies
//! has the right to issue 1/N of an account's permits. It exercises this right itself, or lends it to
//! another proxy for a limited time, but never both. Whatever proxies believe about each other, the
//! operations of a window are therefore at most the permits issued in it and shortly before.
//!
//! An account's callers use the proxies unevenly, so all proxies lend their rights to a few of them, the
//! *collectors*, and draw permits from these.

mod balance;
mod permits;
mod tolerance;

use std::time::Duration;

use dandelionpitch_core::hash::{self, Map};

use crate::{
    account::{Account, Directory},
    ownership::{self, Peer},
    time::Moment,
};

use balance::{Balance, Loan, RETRY_AFTER};

pub use permits::{Batch, Permits};
pub use tolerance::Tolerance;

/// The number of collectors of a small fleet. More of them share the work, but each has to ask every proxy.
const MIN_COLLECTORS: f64 = 6.0;

/// The size of a fleet up to which it has [`MIN_COLLECTORS`] and loans of [`MIN_LOAN_TERM`].
const SMALL_FLEET: f64 = 80.0;

/// How long a proxy of a small fleet lends its right to issue permits, unless the collector asks again.
const MIN_LOAN_TERM: Duration = Duration::from_millis(1_200);
const MAX_LOAN_TERM: Duration = Duration::from_millis(6_000);

/// A collector that has stopped asking is preferred to the next one for this part of a loan.
const COLLECTOR_TIMEOUT_PART: f64 = 0.8;

/// How long a proxy lends its right. Grows with the fleet, so that a collector asks no more proxies in a
/// second than in a small one; proxies that fail take their rights with them for longer.
pub fn loan_term(members: usize) -> Duration {
    let factor = members as f64 / SMALL_FLEET;
    MIN_LOAN_TERM.mul_f64(factor.max(1.0)).min(MAX_LOAN_TERM)
}

/// The number of collectors. Grows with the square root of the fleet: draws grow with it, but so do the
/// requests that each proxy answers with the number of collectors.
fn collector_count(peers: usize) -> usize {
    let factor = (peers as f64 / SMALL_FLEET).max(1.0).sqrt();
    (MIN_COLLECTORS * factor).round() as usize
}

/// A collector grants at most 1/n of its permits at once, so that many proxies can draw.
const GRANT_DIVISOR: f64 = 4.0;

/// Sums of fractions may fall short of a whole permit by a rounding error.
const ROUNDING: f64 = 1e-4;

/// Whether an operation may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It uses a permit, of which the oldest part was issued at `issued`.
    Admitted { issued: Moment },
    /// This proxy has to draw `amount` permits first.
    Draw { amount: f64 },
    /// The limit is used up; the caller may retry after `retry_after`.
    Refused { retry_after: Duration },
}

/// The rights that a proxy lends to a collector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loans {
    /// The number of proxies among which the lender divides the permits.
    pub members: usize,
    /// How long they last.
    pub term: Duration,
    /// The accounts for which it lends its right, and how long others still have it.
    pub accounts: Vec<(String, Duration)>,
}

/// The permits of all accounts on this proxy.
#[derive(Debug)]
pub struct Ledger {
    tolerance: Tolerance,
    /// The id of this proxy.
    own: String,
    /// The number of proxies, if this one has been registered for long enough to issue permits.
    members: Option<usize>,
    /// The number of proxies that issue permits; `None` while this one issues none.
    issuers: Option<usize>,
    balances: Map<String, Balance>,
    /// The ids of the collectors.
    collectors: Vec<String>,
    /// When each collector last asked this proxy for its rights.
    collected_at: Map<String, Moment>,
    /// When this process started.
    started_at: Moment,
}

impl Ledger {
    /// A ledger without accounts, of a process of the proxy `own` that starts at `now`.
    pub fn new(own: &str, tolerance: Tolerance, now: Moment) -> Self {
        Self {
            own: own.to_owned(),
            started_at: now,
            issuers: None,
            tolerance,
            members: None,
            balances: Map::default(),
            collectors: Vec::new(),
            collected_at: Map::default(),
        }
    }

    /// Applies the accounts and limits of a configuration.
    pub fn configure(&mut self, accounts: &Directory, now: Moment) {
        self.balances.retain(|name, _| accounts.get(name).is_some());
        for account in accounts.iter() {
            let rate = self.tolerance.rate(&account.limit);
            let lifetime = self.tolerance.lifetime(&account.limit);
            let members = self.issuers;
            let balance = self.balance(account, now);
            if (balance.rate, balance.lifetime) != (rate, lifetime) {
                balance.update(members, now);
                if rate < balance.rate {
                    balance.permits.scale(rate / balance.rate);
                }
                balance.rate = rate;
                balance.lifetime = lifetime;
            }
        }
    }

    /// Sets how many proxies issue permits, `None` if this one must not.
    pub fn set_members(&mut self, members: Option<usize>, now: Moment) {
        self.members = members;
        self.update_issuers(now);
    }

    /// Sets which proxies there are. Ranks all of them, so it should be called only when they change.
    pub fn set_peers(&mut self, peers: &[Peer]) {
        self.collectors = collectors(peers);
        self.collected_at
            .retain(|id, _| self.collectors.contains(id));
    }

    /// Whether this proxy is a collector.
    pub fn is_collector(&self) -> bool {
        self.collectors.contains(&self.own)
    }

    /// Whether there are any accounts.
    pub fn is_empty(&self) -> bool {
        self.balances.is_empty()
    }

    /// Decides on an operation that has not been counted yet.
    pub fn admit(&mut self, account: &Account, now: Moment) -> Decision {
        self.balance(account, now).count_operation(now);
        self.retry(account, now)
    }

    /// Decides again, for example once permits were drawn.
    pub fn retry(&mut self, account: &Account, now: Moment) -> Decision {
        let members = self.issuers;
        let balance = self.balance(account, now);
        balance.update(members, now);
        let total = balance.permits.total();
        if total >= 1.0 - ROUNDING {
            let issued = balance.permits.take(1.0).first().map_or(now, |b| b.issued);
            return Decision::Admitted { issued };
        }
        if now < balance.denied_until {
            let retry_after = balance.retry_after();
            return Decision::Refused { retry_after };
        }
        let amount = balance.expected_need(now).max(1.0) - total;
        Decision::Draw { amount }
    }

    /// Gives back the permit of an operation that did not run.
    pub fn refund(&mut self, account: &str, issued: Moment) {
        self.credit(
            account,
            &[Batch {
                issued,
                amount: 1.0,
            }],
        );
    }

    /// Adds permits that were issued by other proxies.
    pub fn credit(&mut self, account: &str, batches: &[Batch]) {
        if let Some(balance) = self.balances.get_mut(account) {
            batches.iter().for_each(|batch| balance.permits.add(*batch));
        }
    }

    /// Records that no collector grants permits of `account` for now.
    pub fn deny(&mut self, account: &str, now: Moment) -> Duration {
        let Some(balance) = self.balances.get_mut(account) else {
            return RETRY_AFTER.0;
        };
        balance.denied_until = now + RETRY_AFTER.0;
        balance.retry_after()
    }

    /// Whether this proxy issues no permits yet, as it has just started or is not registered.
    pub fn is_starting(&self) -> bool {
        self.issuers.is_none()
    }

    /// Takes up to `amount` permits of `account` for another proxy; the newest, as others could expire
    /// before they are used.
    pub fn grant(&mut self, account: &str, amount: f64, now: Moment) -> Vec<Batch> {
        let members = self.issuers;
        let Some(balance) = self.balances.get_mut(account) else {
            return Vec::new();
        };
        balance.update(members, now);
        let total = balance.permits.total();
        if total < 1.0 - ROUNDING {
            return Vec::new();
        }
        let limit = (total / GRANT_DIVISOR).max(1.0);
        balance.permits.take_newest(amount.min(limit))
    }

    /// Lends this proxy's rights to the collector `id`, for the accounts for which it is this proxy's
    /// choice. A right that is lent to another collector stays there until that loan ends, and then passes
    /// on without a gap.
    pub fn lend(&mut self, id: &str, now: Moment) -> Loans {
        self.collected_at.insert(id.to_owned(), now);
        self.update_issuers(now);
        let Some(members) = self.issuers else {
            return Loans {
                members: 1,
                term: Duration::ZERO,
                accounts: Vec::new(),
            };
        };
        let term = loan_term(members);
        let names = self.balances.keys();
        let chosen = names.filter(|name| self.choice(name, now) == Some(id));
        let names: Vec<String> = chosen.cloned().collect();
        let mut accounts = Vec::with_capacity(names.len());
        for name in names {
            if let Some(balance) = self.balances.get_mut(&name) {
                balance.update(Some(members), now);
                let delay = balance.lend(id, term, now);
                accounts.push((name, delay));
            }
        }
        Loans {
            members,
            term,
            accounts,
        }
    }

    /// Accepts the rights that `lender` lent in its answer to a request sent at `asked`. Their
    /// term begins then, as the answer may have been given at any time since. What the lender
    /// lent before ends now: it may have restarted, and know nothing of it.
    pub fn accept(&mut self, lender: &str, loans: &Loans, asked: Moment, now: Moment) {
        let own_members = self.issuers;
        for balance in self.balances.values_mut() {
            if balance.loans.contains_key(lender) {
                balance.update(own_members, now);
                balance.loans.remove(lender);
            }
        }
        for (account, delay) in &loans.accounts {
            let loan = Loan {
                members: loans.members,
                from: now + *delay,
                until: asked + loans.term,
            };
            if let Some(balance) = self.balances.get_mut(account) {
                balance.update(own_members, now);
                balance.loans.insert(lender.to_owned(), loan);
            }
        }
    }

    /// Updates whether this proxy issues permits.
    ///
    /// The rights that an earlier process of this proxy has lent must not be exercised here as well. They
    /// have ended once each collector has asked this process, or the term of a loan has passed.
    fn update_issuers(&mut self, now: Moment) {
        let has_asked = |id: &String| *id == self.own || self.collected_at.contains_key(id);
        // An earlier process counted no more proxies, so its loans were no longer.
        let term = loan_term(self.members.unwrap_or(1));
        let is_cleared = now >= self.started_at + term || self.collectors.iter().all(has_asked);
        let issuers = self.members.filter(|_| is_cleared);
        if self.issuers == issuers {
            return;
        }
        for balance in self.balances.values_mut() {
            balance.update(self.issuers, now);
        }
        self.issuers = issuers;
    }

    /// The collectors from which this proxy draws permits of `account`, in order: those that have its
    /// right, then its choice.
    ///
    /// While rights pass from one collector to the next, each has a part of them, and the callers of a
    /// small account may all use proxies that draw from the one with the smaller part.
    pub fn sources(&self, account: &str, now: Moment) -> Vec<&str> {
        let balance = self.balances.get(account);
        let holders = balance.into_iter().flat_map(|balance| balance.holders(now));
        let mut sources: Vec<&str> = Vec::new();
        for id in holders.chain(self.choice(account, now)) {
            if !sources.contains(&id) {
                sources.push(id);
            }
        }
        sources
    }

    /// The first collector in the account's order of preference that is this proxy itself or has asked
    /// it for its rights recently.
    fn choice(&self, account: &str, now: Moment) -> Option<&str> {
        let timeout = loan_term(self.members.unwrap_or(1)).mul_f64(COLLECTOR_TIMEOUT_PART);
        let is_live = |id: &&String| {
            let asked = self.collected_at.get(*id);
            **id == self.own || asked.is_some_and(|at| now.since(*at) < timeout)
        };
        let live = self.collectors.iter().filter(is_live);
        let preference = |id: &&String| hash::stable_hash(&(account, id.as_str()));
        live.max_by_key(preference).map(String::as_str)
    }

    fn balance(&mut self, account: &Account, now: Moment) -> &mut Balance {
        let Account { name, limit } = account;
        if !self.balances.contains_key(name) {
            let rate = self.tolerance.rate(limit);
            let balance = Balance::new(rate, self.tolerance.lifetime(limit), now);
            self.balances.insert(name.clone(), balance);
        }
        self.balances
            .get_mut(name)
            .expect("the balance was inserted above")
    }
}

/// The ids of the collectors: the proxies with the highest scores, of each data centre in turn, so that
/// some are left if one is partitioned.
fn collectors(peers: &[Peer]) -> Vec<String> {
    let mut of_dc: Map<&str, usize> = Map::default();
    let mut ranked: Vec<(usize, &Peer)> = Vec::new();
    for peer in ownership::rank(peers, "quota") {
        let place = of_dc.entry(&peer.dc).or_default();
        ranked.push((*place, peer));
        *place += 1;
    }
    // Stable, so that the order of scores remains within a place.
    ranked.sort_by_key(|(place, _)| *place);
    let chosen = ranked.into_iter().take(collector_count(peers.len()));
    chosen.map(|(_, peer)| peer.id.clone()).collect()
}
