//! The statements prepared on one connection.

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{session::MAX_NAMES, statement::Definition};

/// The statements prepared on a connection, and their names there. Holds as many as another proxy accepts on
/// one connection, which carries the statements of many sessions.
#[derive(Debug, Default)]
pub struct Prepared {
    statements: Map<Definition, Entry>,
    /// Counts all uses, so that the least recently used statement is known.
    uses: u64,
    last_number: u64,
}

#[derive(Debug)]
struct Entry {
    name: String,
    last_use: u64,
}

impl Prepared {
    /// The name of a statement that is about to be executed, if it is prepared.
    pub fn use_name(&mut self, definition: &Definition) -> Option<String> {
        self.uses += 1;
        let entry = self.statements.get_mut(definition)?;
        entry.last_use = self.uses;
        Some(entry.name.clone())
    }

    /// A name for another statement.
    pub fn next_name(&mut self) -> String {
        self.last_number += 1;
        format!("p{}", self.last_number)
    }

    /// Removes the least recently used statement if there is no room for another; returns its name.
    pub fn make_room(&mut self) -> Option<String> {
        if self.statements.len() < MAX_NAMES {
            return None;
        }
        let oldest = self
            .statements
            .iter()
            .min_by_key(|(_, entry)| entry.last_use);
        let oldest = oldest.map(|(definition, _)| definition.clone())?;
        self.statements.remove(&oldest).map(|entry| entry.name)
    }

    /// Notes that a statement has been prepared.
    pub fn insert(&mut self, definition: &Definition, name: String) {
        let last_use = self.uses;
        let entry = Entry { name, last_use };
        self.statements.insert(definition.clone(), entry);
    }

    /// Notes that all statements have been cleared.
    pub fn clear(&mut self) {
        self.statements.clear();
    }
}
