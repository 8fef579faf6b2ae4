//! Writes the record of a group to the store, and reads it again after a conflict.

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

/// Writes a group's record, which is based on the one at the revision `known`; returns its
/// revision.
///
/// The store writes it only if this process is still the leader and the stored record is still at
/// `known`. Otherwise a process whose lease has expired could promote a server next to a new
/// leader, or a new leader could promote one without knowing of its predecessor's last promotion.
///
/// # Errors
///
/// [`Failure::Conflict`] if a condition does not hold, or [`Failure::Store`] if the call fails; the
/// record may have been written all the same.
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

/// Reads a group's record after a conflict, so that the next attempt is based on it.
///
/// Gives up the leadership only if the leader's key is no longer this process's. A conflict does not
/// prove that: it also follows a write that was applied but whose answer was lost.
pub async fn reload_record(control: &Control, service: &str, token: u64) {
    let store = control.store();
    let key = format!("{RECORD_PREFIX}{service}");
    let read = async {
        let leader = store.get(LEADER).await?;
        match leader.is_some_and(|item| item.revision == token) {
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
