//! Writes the record of a group to the store, and reads it back when that was refused.

use dandelionpitch_platform::store::{Outcome, Write};

use crate::line::{
    clock,
    control::{
        keys::LEADER,
        record::{Failure, Record, StoredRecord, RECORD_PREFIX},
        state::Control,
    },
    journal,
};

/// Writes a group's record, on the condition that this process still holds the duty and that the
/// record is at the revision `known`, on which the new one rests; returns its revision.
///
/// Failure: the store took the duty away without this process being told, and another holder
/// promotes as well; or a new holder has not seen yet that its predecessor promotes a server this
/// moment. Guard: the store itself refuses the record of a holder that is none, or that knows an
/// older record.
pub async fn write_record(
    control: &Control,
    service: &str,
    record: &Record,
    known: Option<u64>,
) -> Result<u64, Failure> {
    let value = serde_json::to_vec(record).map_err(|error| Failure::Store(error.to_string()))?;
    let key = format!("{RECORD_PREFIX}{service}");
    let write = Write {
        key: &key,
        value: &value,
        lease: None,
    };
    let conditions = [
        (LEADER, record.token),
        (key.as_str(), known.unwrap_or_default()),
    ];
    match control.store().change(&conditions, &[write], &[]).await {
        Ok(Outcome::Done { revision }) => {
            let mut records = control.records.borrow_mut();
            StoredRecord::insert(
                service,
                record.clone(),
                revision,
                &mut records,
                clock::now(),
            );
            Ok(revision)
        }
        Ok(Outcome::Conflict | Outcome::LeaseNotFound) => Err(Failure::Conflict),
        Err(error) => Err(Failure::Store(error.to_string())),
    }
}

/// After a refused record: reads what the store holds, so that the next attempt goes on from it.
/// The duty is given up only if its key is not this process's any more; a record whose own answer
/// was lost is refused as well.
pub async fn reload_record(control: &Control, service: &str, token: u64) {
    let store = control.store();
    let key = format!("{RECORD_PREFIX}{service}");
    let read = async {
        let own = store.get(LEADER).await?;
        match own.is_some_and(|item| item.revision == token) {
            true => store.get(&key).await.map(Some),
            false => Ok(None),
        }
    };
    match read.await {
        Ok(None) => control.election.borrow_mut().note_expiry(),
        Ok(Some(item)) => {
            let mut records = control.records.borrow_mut();
            item.iter()
                .for_each(|item| StoredRecord::insert_item(item, &mut records, clock::now()));
        }
        Err(error) => journal::trouble("record", &error.to_string()),
    }
}
