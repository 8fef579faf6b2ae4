//! Client accounts: who a caller is, by the key that it presents, and how many operations it may run.

use std::{borrow::Borrow, fmt, sync::Arc};

use dandelionpitch_core::hash::Map;

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

/// The client accounts of a configuration and their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    accounts: Map<String, Arc<Account>>,
    keys: Map<Key, Arc<Account>>,
}

impl Directory {
    /// Adds an account and its keys.
    pub fn insert(&mut self, account: Account, keys: impl IntoIterator<Item = Key>) {
        let account = Arc::new(account);
        for key in keys {
            self.keys.insert(key, account.clone());
        }
        self.accounts.insert(account.name.clone(), account);
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
