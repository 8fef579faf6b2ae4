//! Applies [`engine::quota`]: admits callers' operations, draws permits from collectors, and gathers them
//! if this proxy is one.
//!
//! [`engine::quota`]: dandelionpitch_engine::quota

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    account::Account,
    catalog::Catalog,
    ownership::Peer,
    quota::{loan_term, Decision, Ledger, Tolerance},
    session::Variables,
    slots::Purpose,
    time::Moment,
};
use dandelionpitch_platform::{
    backend::Query,
    quota::{read_batches, read_loans, write_batches, write_loans, Request},
    Error,
};
use serde_json::json;
use tokio::sync::Mutex;

use crate::line::{
    backend::{
        request::{self, Client, Rank},
        Backend,
    },
    clock, journal,
    shared::Shared,
    view::View,
};

/// Timeout for another proxy to answer a request for permits.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(120);

/// A collector asks each proxy this many times while a loan lasts, so that one lost answer ends no loan.
const COLLECTS_PER_LOAN: u32 = 3;

/// A collector asks this many times as often during the first [`INITIAL_TIME`], so that an account has its
/// permits soon after many proxies started.
const INITIAL_FACTOR: u32 = 4;
const INITIAL_TIME: Duration = Duration::from_secs(2);

/// The number of steps in which a collector asks all proxies. Few, as a busy VM runs each step late.
const COLLECT_STEPS: u32 = 4;

/// The interval at which a proxy checks whether it is a collector.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The same interval while there are no accounts.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// How long a proxy that was not registered before waits until it issues permits: by then the others
/// have received its registration, and issue fewer.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The number of refusals, of all accounts, that are logged within [`LOG_INTERVAL`], so that a caller far above
/// its limit does not fill the log.
const MAX_LOGGED_REFUSALS: u32 = 5;
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The quotas as this proxy applies them.
pub struct Quota {
    ledger: RefCell<Ledger>,
    /// One draw at a time for each account.
    draws: RefCell<Map<String, Rc<Mutex<()>>>>,
    catalog: RefCell<Option<Arc<Catalog>>>,
    /// The proxies among which the collectors were chosen.
    peers: RefCell<Arc<[Peer]>>,
    /// When this proxy found its own registration.
    registered_at: Cell<Option<Moment>>,
    logged: Cell<(Moment, u32)>,
}

/// An operation for which there is no permit.
pub struct Exceeded {
    /// Whether this proxy does not issue permits yet, so that the account may be within its limit.
    pub is_starting: bool,
    pub retry_after: Duration,
}

impl Quota {
    pub fn new(own: &str, tolerance: Tolerance) -> Self {
        Self {
            ledger: RefCell::new(Ledger::new(own, tolerance, clock::now())),
            draws: RefCell::default(),
            catalog: RefCell::default(),
            peers: RefCell::default(),
            registered_at: Cell::default(),
            logged: Cell::default(),
        }
    }

    /// Applies a new view; `own` is the id of this proxy.
    pub fn update(&self, view: &View, own: &str) {
        let now = clock::now();
        let is_registered = !view.is_unconfirmed && view.peer(own).is_some();
        if is_registered && self.registered_at.get().is_none() {
            let settled = match view.has_predecessor {
                true => now,
                false => now + SETTLE_TIME,
            };
            self.registered_at.set(Some(settled));
        }
        let issues = self.registered_at.get().is_some_and(|at| now >= at);
        let mut ledger = self.ledger.borrow_mut();
        if !Arc::ptr_eq(&self.peers.borrow(), &view.peers) {
            *self.peers.borrow_mut() = view.peers.clone();
            ledger.set_peers(&view.peers);
        }
        ledger.set_members(issues.then_some(view.quota_members), now);
        let Some(catalog) = &view.catalog else {
            return;
        };
        let mut applied = self.catalog.borrow_mut();
        let is_applied = applied
            .as_ref()
            .is_some_and(|old| Arc::ptr_eq(old, catalog));
        if let (Some(accounts), false) = (&catalog.accounts, is_applied) {
            ledger.configure(accounts, now);
            self.draws
                .borrow_mut()
                .retain(|name, _| accounts.get(name).is_some());
            *applied = Some(catalog.clone());
        }
    }

    /// Takes a permit for an operation of `account`; returns when the permit was issued.
    pub async fn admit(&self, shared: &Shared, account: &Account) -> Result<Moment, Exceeded> {
        let taken = self.take(shared, account).await;
        taken.map_err(|retry_after| Exceeded {
            is_starting: self.ledger.borrow().is_starting(),
            retry_after,
        })
    }

    /// Takes a permit, drawing permits if that is needed. An error is the time until the next permit may be
    /// issued.
    async fn take(&self, shared: &Shared, account: &Account) -> Result<Moment, Duration> {
        let decision = self.ledger.borrow_mut().admit(account, clock::now());
        match decision {
            Decision::Admitted { issued } => return Ok(issued),
            Decision::Refused { retry_after } => return Err(retry_after),
            Decision::Draw { .. } => {}
        }
        let draw = self.draw_lock(&account.name);
        let _guard = draw.lock().await;
        for source in self.sources(&account.name, &shared.id) {
            let decision = self.ledger.borrow_mut().retry(account, clock::now());
            match decision {
                Decision::Admitted { issued } => return Ok(issued),
                Decision::Refused { retry_after } => return Err(retry_after),
                Decision::Draw { amount } => self.draw(shared, &source, account, amount).await,
            }
        }
        let now = clock::now();
        let mut ledger = self.ledger.borrow_mut();
        match ledger.retry(account, now) {
            Decision::Admitted { issued } => Ok(issued),
            _ => Err(ledger.deny(&account.name, now)),
        }
    }

    /// Gives back the permit of an operation that did not run.
    pub fn refund(&self, account: &Account, issued: Moment) {
        self.ledger.borrow_mut().refund(&account.name, issued);
    }

    /// Logs a refusal, up to a number in each interval.
    pub fn log_refusal(&self, id: &str, account: &Account, exceeded: &Exceeded) {
        let now = clock::now();
        let (since, count) = match self.logged.get() {
            (since, count) if now.since(since) < LOG_INTERVAL => (since, count + 1),
            _ => (now, 1),
        };
        self.logged.set((since, count));
        if count <= MAX_LOGGED_REFUSALS {
            let kind = match exceeded.is_starting {
                true => "quota not known",
                false => "quota used up",
            };
            journal::write(
                kind,
                json!({ "id": id, "account": account.name, "rate": account.limit.rate,
                    "retry_after_ms": exceeded.retry_after.as_millis() as u64 }),
            );
        }
    }

    fn draw_lock(&self, account: &str) -> Rc<Mutex<()>> {
        let mut draws = self.draws.borrow_mut();
        draws.entry(account.to_owned()).or_default().clone()
    }

    /// The other proxies from which permits of `account` can be drawn.
    fn sources(&self, account: &str, own: &str) -> Vec<String> {
        let ledger = self.ledger.borrow();
        let sources = ledger.sources(account, clock::now()).into_iter();
        sources.filter(|id| *id != own).map(str::to_owned).collect()
    }

    /// Draws permits from a collector.
    async fn draw(&self, shared: &Shared, id: &str, account: &Account, amount: f64) {
        let name = account.name.as_str();
        shared.metrics.quota_draw();
        let Some(peer) = shared.peers.get(id) else {
            return;
        };
        let request = Request::Draw {
            account: name,
            amount,
        };
        let granted = match exchange(&peer, request).await {
            Ok((rows, asked)) => read_batches(&rows, asked),
            Err(error) => Err(error),
        };
        match granted {
            Ok(granted) => self.ledger.borrow_mut().credit(name, &granted),
            Err(error) => journal::trouble("draw", &format!("{id}: {error}")),
        }
    }

    /// Answers another proxy's request: the rows for the permits or loans that it gets.
    pub fn respond(&self, request: Request<'_>) -> String {
        let now = clock::now();
        let mut ledger = self.ledger.borrow_mut();
        let mut rows = String::new();
        match request {
            Request::Draw { account, amount } => {
                let granted = ledger.grant(account, amount, now);
                write_batches(&mut rows, &granted, now);
            }
            Request::Collect { by } => write_loans(&mut rows, &ledger.lend(by, now)),
        }
        rows
    }

    fn collects(&self) -> bool {
        let ledger = self.ledger.borrow();
        ledger.is_collector() && !ledger.is_empty()
    }
}

/// Gathers all proxies' rights to issue permits while this one is a collector, until the process ends.
pub async fn run(shared: Rc<Shared>) {
    let mut since = None;
    let mut changed = shared.view.clone();
    loop {
        let view = changed.borrow_and_update().clone();
        // Applied regularly, as a proxy starts to issue permits some time after it was registered.
        shared.quota.update(&view, &shared.id);
        let interval = match shared.quota.collects() {
            true => collect_from_all(&shared, *since.get_or_insert_with(clock::now)).await,
            false => {
                since = None;
                match shared.quota.ledger.borrow().is_empty() {
                    true => IDLE_CHECK_INTERVAL,
                    false => CHECK_INTERVAL,
                }
            }
        };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            // Without accounts there is nothing to do until a configuration has some.
            Ok(()) = changed.changed(), if shared.quota.ledger.borrow().is_empty() => {}
        }
    }
}

/// Asks all proxies, in several steps that spread the work; returns the time until the next step.
/// This proxy is a collector `since` then.
async fn collect_from_all(shared: &Rc<Shared>, since: Moment) -> Duration {
    let members = shared.view.borrow().quota_members;
    let regular = loan_term(members) / COLLECTS_PER_LOAN;
    let interval = match clock::now().since(since) < INITIAL_TIME {
        true => regular / INITIAL_FACTOR,
        false => regular,
    };
    let pause = interval / COLLECT_STEPS;
    let peers = shared.peers.reachable();
    let per_step = peers.len().div_ceil(COLLECT_STEPS as usize).max(1);
    for (step, some) in peers.chunks(per_step).enumerate() {
        if step > 0 {
            tokio::time::sleep(pause).await;
        }
        for peer in some {
            tokio::task::spawn_local(collect(shared.clone(), peer.clone()));
        }
    }
    pause
}

async fn collect(shared: Rc<Shared>, peer: Rc<Backend>) {
    let request = Request::Collect { by: &shared.id };
    let loans = match exchange(&peer, request).await {
        Ok((rows, asked)) => read_loans(&rows).map(|loans| (loans, asked)),
        Err(error) => Err(error),
    };
    match loans {
        Ok((loans, asked)) => {
            let mut ledger = shared.quota.ledger.borrow_mut();
            ledger.accept(peer.server.id(), &loans, asked, clock::now());
        }
        Err(error) => journal::trouble("collect", &format!("{}: {error}", peer.server.id())),
    }
}

/// Sends a request to another proxy; returns the rows of its answer and when it was sent.
async fn exchange(peer: &Rc<Backend>, request: Request<'_>) -> Result<(Vec<u8>, Moment), Error> {
    let exchange = async {
        let deadline = clock::now() + EXCHANGE_TIMEOUT;
        let rank = Rank {
            priority: 0,
            due: deadline,
        };
        let wanted = request::Request {
            client: Client::Proxy,
            purpose: Purpose::Statement,
            rank,
            deadline,
        };
        let checkout = peer.pool.checkout(&Variables::default(), wanted).await;
        let mut checkout = checkout.map_err(|_| Error::Timeout)?;
        let asked = clock::now();
        let query = Query::Permits(request);
        let answer = checkout.connection().link.query(query).await?;
        checkout.release();
        Ok((answer.result?.rows, asked))
    };
    match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout),
    }
}
