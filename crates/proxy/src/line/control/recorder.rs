//! Writes the records of groups to the store, and reads one again after a conflict.

use dandelionpitch_platform::store::{self, Outcome};

use crate::line::{
    clock,
    control::{
        keys::LEADER,
        record::{Failure, Record, RECORD_PREFIX},
        state::Control,
    },
    journal,
};

/// A group's record to be written, which is based on the one at the revision `known`.
#[derive(Clone, Copy)]
pub struct Write<'a> {
    pub service: &'a str,
    pub record: &'a Record,
    pub known: Option<u64>,
}

/// Writes a group's record, which is based on the one at the revision `known`; returns its
/// revision.
///
/// # Errors
///
/// As for [`write_records`].
pub async fn write_record(
    control: &Control,
    service: &str,
    record: &Record,
    known: Option<u64>,
) -> Result<u64, Failure> {
    let write = Write {
        service,
        record,
        known,
    };
    write_records(control, &[write]).await
}

/// Writes the records of several groups, or none of them; returns their revision.
///
/// The store writes them only if this process is still the leader and each stored record is still at
/// its `known` revision. Otherwise a process whose lease has expired could promote a server next to a
/// new leader, or a new leader could promote one without knowing of its predecessor's last promotion.
///
/// # Errors
///
/// [`Failure::Conflict`] if a condition does not hold, or [`Failure::Store`] if the call fails; the
/// records may have been written all the same.
pub async fn write_records(control: &Control, records: &[Write<'_>]) -> Result<u64, Failure> {
    let Some(first) = records.first() else {
        return Err(Failure::Conflict);
    };
    let mut rows = Vec::with_capacity(records.len());
    for write in records {
        let value = serde_json::to_vec(write.record);
        let value = value.map_err(|error| Failure::Store(error.to_string()))?;
        let known = write.known.unwrap_or_default();
        rows.push((format!("{RECORD_PREFIX}{}", write.service), value, known));
    }
    let mut conditions = vec![(LEADER, first.record.token)];
    conditions.extend(rows.iter().map(|(key, _, known)| (key.as_str(), *known)));
    let writes = rows.iter().map(|(key, value, _)| store::Write {
        key,
        value,
        lease: None,
    });
    let writes: Vec<store::Write<'_>> = writes.collect();
    match control.store().change(&conditions, &writes, &[]).await {
        Ok(Outcome::Done { revision }) => {
            let mut stored = control.records.borrow_mut();
            for Write {
                service, record, ..
            } in records
            {
                stored.insert(service, (*record).clone(), revision, clock::now());
            }
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
                .for_each(|item| records.insert_item(item, clock::now()));
        }
        Err(error) => journal::trouble("record", &error.to_string()),
    }
}
