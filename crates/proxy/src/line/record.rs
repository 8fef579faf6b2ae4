//! The record of a group in the store: who promoted last, and which servers count.

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::time::Moment;
use dandelionpitch_platform::store::{Change, Item, Write};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{control::Control, journal, member};

/// The prefix of the records of promotions.
const RECORDS: &str = "dandelionpitch/group/";

/// Why an attempt did not promote a server.
#[derive(Debug, Display)]
pub enum Stopped {
    #[display("only {fenced} of {quorum} members are held")]
    NoChoice { fenced: usize, quorum: usize },
    #[display("a server has come that is not held")]
    Grown,
    #[display("the duty is no longer held")]
    NoDuty,
    #[display("the store says that the duty is another's, or the record changed")]
    Conflict,
    #[display("the store did not take the record: {_0}")]
    Store(String),
    #[display("the platform did not promote: {_0}")]
    Promotion(String),
}

/// The record of a promotion in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    pub holder: String,
    pub token: u64,
    /// The server promoted last; empty while none was.
    pub server: String,
    /// When this was written for a promotion, its number: others wait for a while after it.
    pub promotions: u64,
    /// The servers that count for a promotion, present or vanished.
    pub members: Vec<String>,
}

/// A record and when this process saw it.
#[derive(Clone, Debug)]
pub struct Noted {
    pub record: Record,
    pub revision: u64,
    /// When the last promotion was first seen here.
    pub promoted: Moment,
}

impl Noted {
    /// Reads a record into `known`, if the item is one.
    pub fn read(item: &Item, known: &mut Map<String, Self>, now: Moment) {
        let Some(service) = item.key.strip_prefix(RECORDS) else {
            return;
        };
        let record = match serde_json::from_slice::<Record>(&item.value) {
            Ok(record) => record,
            Err(error) => return journal::trouble("record", &format!("{}: {error}", item.key)),
        };
        let same = known
            .get(service)
            .filter(|old| old.record.promotions == record.promotions);
        let promoted = same.map_or(now, |old| old.promoted);
        let noted = Self {
            record,
            revision: item.revision,
            promoted,
        };
        known.insert(service.to_owned(), noted);
    }
}

/// Writes a group's record, on the condition that this process still holds the duty, and that the
/// record is at `revision` if one is given.
///
/// Failure: the store took the duty away without this process being told, and another holder
/// promotes as well. Guard: the store itself refuses the record of a holder that is none.
pub async fn write_record(
    control: &Control,
    service: &str,
    record: &Record,
    revision: Option<u64>,
) -> Result<(), Stopped> {
    let value = serde_json::to_vec(record).map_err(|error| Stopped::Store(error.to_string()))?;
    let key = format!("{RECORDS}{service}");
    let write = Write {
        key: &key,
        value: &value,
        lease: 0,
    };
    let mut conditions = vec![(member::DUTY, record.token)];
    conditions.extend(revision.map(|revision| (key.as_str(), revision)));
    match control.store().change(&conditions, &[write], &[]).await {
        Ok(Change::Done { .. }) => Ok(()),
        Ok(Change::Conflict | Change::LeaseGone) => Err(Stopped::Conflict),
        Err(error) => Err(Stopped::Store(error.to_string())),
    }
}
