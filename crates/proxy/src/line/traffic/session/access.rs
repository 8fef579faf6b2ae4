//! Checks what a caller may do: the database and key of its session, and its account's quota.

use std::sync::Arc;

use dandelionpitch_core::hash;
use dandelionpitch_engine::{
    account::Account,
    refusal::{Code, Refusal},
    session::Phase,
    startup,
    statement::Statement,
    time::Moment,
};
use dandelionpitch_platform::{backend::Success, feed, peer};

use super::{Origin, Session};
use crate::line::clock;

/// The permit that an operation uses.
pub(super) struct Permit {
    account: Arc<Account>,
    issued: Moment,
}

impl Session {
    /// Checks the first message.
    pub(super) fn check_start(&self) -> Result<(), Refusal> {
        if self.origin == Origin::Peer {
            return match self.database.as_str() {
                peer::SERVICE | feed::SERVICE => Ok(()),
                _ => Err(Refusal::new(
                    Code::Moved,
                    "this port accepts only other proxies",
                )),
            };
        }
        let Some(catalog) = self.shared.catalog() else {
            let open = self.shared.open_count.get();
            let seed = (&self.shared.id, open, clock::now().millis());
            let millis = startup::return_after(hash::stable_fraction(&seed)).as_millis();
            let why = format!("starting; come back in {millis} ms");
            return Err(Refusal::new(Code::Busy, why));
        };
        match catalog.routes.get(&self.database) {
            Some(route) => catalog.authorize(route, &self.key).map(drop),
            None => Err(unknown_database(&self.database, catalog.version)),
        }
    }

    /// Looks up the route and the account in the current configuration. An open transaction keeps the
    /// route with which it began, but not its account: it is rolled back if the key was removed or
    /// belongs to another account.
    pub(super) fn authorize(&mut self) -> Result<(), Refusal> {
        let is_open = self.state.phase() != Phase::Idle && self.route.is_some();
        if !is_open {
            self.update_route()?;
        }
        let (Some(catalog), Some(route)) = (self.shared.catalog(), &self.route) else {
            return Ok(());
        };
        let account = match catalog.authorize(route, &self.key) {
            Ok(account) => account,
            Err(refusal) => {
                self.state.failed();
                self.release_if_failed();
                return Err(refusal);
            }
        };
        let name = account.as_ref().map(|account| account.name.as_str());
        if name != self.account_name.as_deref() {
            if is_open {
                self.state.failed();
                self.release_if_failed();
                let why = "the key belongs to another account now; rolled back";
                return Err(Refusal::new(Code::Aborted, why));
            }
            self.account_name = name.map(Arc::from);
        }
        self.account = account;
        Ok(())
    }

    fn update_route(&mut self) -> Result<(), Refusal> {
        let catalog = self.shared.catalog();
        let version = catalog.as_ref().map_or(0, |catalog| catalog.version);
        let route = catalog.and_then(|catalog| catalog.routes.get(&self.database).cloned());
        if let Some(route) = &route {
            self.state.enter_group(&route.service);
        }
        self.route = route;
        match self.route {
            Some(_) => Ok(()),
            None => Err(unknown_database(&self.database, version)),
        }
    }

    /// Takes a permit if `statement` begins an operation of a caller that has an account.
    pub(super) async fn take_permit(
        &self,
        id: &str,
        statement: &Statement<'_>,
    ) -> Result<Option<Permit>, Refusal> {
        let (Origin::Caller, Phase::Idle, Some(account)) =
            (self.origin, self.state.phase(), &self.account)
        else {
            return Ok(None);
        };
        let begins_operation = matches!(
            statement,
            Statement::Begin { .. }
                | Statement::Read
                | Statement::Write
                | Statement::Execute { .. }
        );
        if !begins_operation {
            return Ok(None);
        }
        let quota = &self.shared.quota;
        let admitted = quota.admit(&self.shared, account).await;
        let metrics = &self.shared.metrics;
        metrics.account_operation(&account.name, admitted.is_ok());
        match admitted {
            Ok(issued) => Ok(Some(Permit {
                account: account.clone(),
                issued,
            })),
            Err(exceeded) => {
                quota.log_refusal(id, account, &exceeded);
                let millis = exceeded.retry_after.as_millis();
                let why = match exceeded.is_starting {
                    true => "this proxy has just started and knows of no quota yet",
                    false => "the account's quota is used up",
                };
                let why = format!("not run: {why}; come back in {millis} ms");
                Err(Refusal::new(Code::Busy, why))
            }
        }
    }

    /// Gives back the permit of an operation that was certainly not run.
    pub(super) fn refund_if_not_run(
        &self,
        permit: Option<Permit>,
        result: &Result<Option<Success>, Refusal>,
    ) {
        let (Some(permit), Err(refusal)) = (permit, result) else {
            return;
        };
        if refusal.code.guarantees_not_run() {
            self.shared.quota.refund(&permit.account, permit.issued);
        }
    }
}

fn unknown_database(name: &str, version: u64) -> Refusal {
    let why = format!("no database {name:?} in version {version} of the configuration");
    Refusal::new(Code::NoDatabase, why)
}
