//! Client accounts: who a caller is, by the key that it presents, and how many operations it may run.

use std::{borrow::Borrow, fmt, sync::Arc};

use dandelionpitch_core::hash::Map;
use derive_more::Display;

/// A caller's secret. Its `Debug` output hides it, so that no log line or error can contain it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Key(String);

impl From<String> for Key {
    fn from(secret: String) -> Self {
        Self(secret)
    }
}

impl Borrow<str> for Key {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// How many operations all callers of an account may run on all proxies together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Operations per second.
    pub rate: f64,
    /// Operations that may be run at once after a pause.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The name under which backend servers know it.
    pub name: String,
    pub limit: Limit,
}

/// Something wrong with an account of a configuration. Contains no key, as keys are secret.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("account {position} ({name:?}): {kind}")]
pub struct Fault {
    /// The account's place in the configuration, counted from 1.
    pub position: usize,
    pub name: String,
    pub kind: Kind,
}

/// What is wrong with an account.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Kind {
    #[display("the name is empty")]
    EmptyName,
    #[display("an earlier account has the same name")]
    RepeatedName,
    /// Keys are counted from 1.
    #[display("key {position} is also held by account {holder:?}")]
    SharedKey { position: usize, holder: String },
    #[display("the rate must be above zero, not {_0}")]
    Rate(f64),
    #[display("the burst must not be negative, not {_0}")]
    Burst(f64),
}

/// The client accounts of a configuration and their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    accounts: Map<String, Arc<Account>>,
    keys: Map<Key, Arc<Account>>,
    /// How many accounts were inserted, including those that replaced one of the same name.
    inserted: usize,
    faults: Vec<Fault>,
}

impl Directory {
    /// Adds an account and its keys. A key that another account holds moves to this one, which is
    /// recorded as a fault.
    pub fn insert(&mut self, account: Account, keys: impl IntoIterator<Item = Key>) {
        self.inserted += 1;
        let account = Arc::new(account);
        self.check(&account);
        for (index, key) in keys.into_iter().enumerate() {
            let holder = self.keys.insert(key, account.clone());
            if let Some(holder) = holder.filter(|holder| holder.name != account.name) {
                let (position, holder) = (index + 1, holder.name.clone());
                self.note_fault(&account, Kind::SharedKey { position, holder });
            }
        }
        self.accounts.insert(account.name.clone(), account);
    }

    /// Records the faults of an account apart from its keys.
    fn check(&mut self, account: &Account) {
        let Limit { rate, burst } = account.limit;
        if account.name.is_empty() {
            self.note_fault(account, Kind::EmptyName);
        }
        if self.accounts.contains_key(&account.name) {
            self.note_fault(account, Kind::RepeatedName);
        }
        if !rate.is_finite() || rate <= 0.0 {
            self.note_fault(account, Kind::Rate(rate));
        }
        if !burst.is_finite() || burst < 0.0 {
            self.note_fault(account, Kind::Burst(burst));
        }
    }

    fn note_fault(&mut self, account: &Account, kind: Kind) {
        self.faults.push(Fault {
            position: self.inserted,
            name: account.name.clone(),
            kind,
        });
    }

    /// What is wrong with the accounts, in the order of the configuration.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// The account that holds `key`.
    pub fn holder(&self, key: &str) -> Option<&Arc<Account>> {
        self.keys.get(key)
    }

    /// The account with this name.
    pub fn get(&self, name: &str) -> Option<&Arc<Account>> {
        self.accounts.get(name)
    }

    /// All accounts, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.accounts.values()
    }
}
