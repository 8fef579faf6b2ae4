//! The record of a group in the store: who promoted last, and which servers count.

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{registry::Incarnation, time::Moment};
use dandelionpitch_platform::store::{Change, Item, Write};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{clock, control::Control, duty, journal};

/// The prefix of the records of promotions.
const RECORDS: &str = "dandelionpitch/group/";

/// Why an attempt did not promote a server.
#[derive(Debug, Display)]
pub enum Stopped {
    #[display("only {fenced} of {quorum} members are held")]
    NoChoice { fenced: usize, quorum: usize },
    #[display("a server has come that is not held")]
    Grown,
    #[display("{server} has started again since it was held")]
    Restarted { server: Incarnation },
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
    pub members: Vec<Incarnation>,
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
        Self::note(service, record, item.revision, known, now);
    }

    fn note(
        service: &str,
        record: Record,
        revision: u64,
        known: &mut Map<String, Self>,
        now: Moment,
    ) {
        let old = known.get(service);
        if old.is_some_and(|old| old.revision >= revision) {
            return;
        }
        let same = old.filter(|old| old.record.promotions == record.promotions);
        let promoted = same.map_or(now, |old| old.promoted);
        let noted = Self {
            record,
            revision,
            promoted,
        };
        known.insert(service.to_owned(), noted);
    }
}

/// Writes a group's record, on the condition that this process still holds the duty and that the
/// record is the one it knows.
///
/// Failure: the store took the duty away without this process being told, and another holder
/// promotes as well; or a new holder has not seen yet that its predecessor promotes a server this
/// moment. Guard: the store itself refuses the record of a holder that is none, or that knows an
/// older record.
pub async fn write_record(
    control: &Control,
    service: &str,
    record: &Record,
) -> Result<(), Stopped> {
    let value = serde_json::to_vec(record).map_err(|error| Stopped::Store(error.to_string()))?;
    let key = format!("{RECORDS}{service}");
    let write = Write {
        key: &key,
        value: &value,
        lease: 0,
    };
    let known = control.records.borrow().get(service).map(|n| n.revision);
    let conditions = [
        (duty::KEY, record.token),
        (key.as_str(), known.unwrap_or_default()),
    ];
    match control.store().change(&conditions, &[write], &[]).await {
        Ok(Change::Done { revision }) => {
            let mut records = control.records.borrow_mut();
            Noted::note(
                service,
                record.clone(),
                revision,
                &mut records,
                clock::now(),
            );
            Ok(())
        }
        Ok(Change::Conflict | Change::LeaseGone) => Err(Stopped::Conflict),
        Err(error) => Err(Stopped::Store(error.to_string())),
    }
}

/// After a refused record: reads what the store holds, so that the next attempt goes on from it.
/// The duty is given up only if its key is not this process's any more; a record whose own answer
/// was lost is refused as well.
pub async fn resync(control: &Control, service: &str, token: u64) {
    let store = control.store();
    let key = format!("{RECORDS}{service}");
    let read = async {
        let own = store.get(duty::KEY).await?;
        match own.is_some_and(|item| item.revision == token) {
            true => store.get(&key).await.map(Some),
            false => Ok(None),
        }
    };
    match read.await {
        Ok(None) => control.duty.borrow_mut().lapsed(),
        Ok(Some(item)) => {
            let mut records = control.records.borrow_mut();
            item.iter()
                .for_each(|item| Noted::read(item, &mut records, clock::now()));
        }
        Err(error) => journal::trouble("record", &error.to_string()),
    }
}
