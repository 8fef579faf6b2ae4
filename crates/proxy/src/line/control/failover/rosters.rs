//! Writes the groups' rosters to the store.
//!
//! A new failover leader of a new deployment has to write one for every group, so several are written with
//! one call.

use std::rc::Rc;

use super::{
    group::{Group, RETRY_DELAY},
    Coordinator,
};

use crate::line::{
    clock,
    control::{
        record::Record,
        recorder::{write_record, write_records, Write},
        state::Control,
    },
    journal,
};

/// The store takes 32 entries in one call: two for each record, and a condition on the leader's key.
pub const MAX_RECORDS_PER_WRITE: usize = 15;

/// A roster that differs from the group's record.
#[derive(Clone)]
pub struct Unsaved {
    service: String,
    record: Record,
    /// The revision of the record that the roster is based on, if there is one.
    revision: Option<u64>,
}

impl Unsaved {
    /// The roster of a group if it has changed, or if its record predates the last restore of the store.
    pub fn new(control: &Control, service: &str, group: &Group) -> Option<Self> {
        if group.is_writing || group.is_attempting {
            return None;
        }
        let members = group.roster.ids();
        let recorded = group.recorded.as_ref();
        let is_saved = recorded.is_some_and(|stored| {
            stored.record.members == members
                && stored.record.addresses == *group.roster.addresses()
                && stored.record.is_in_era_of(stored.revision)
        });
        if is_saved {
            return None;
        }
        let token = control.election.borrow().token(clock::now())?;
        let last = recorded.map(|stored| &stored.record);
        let record = Record {
            holder: control.name.clone(),
            token,
            server: last.map_or(String::new(), |record| record.server.clone()),
            promotions: last.map_or(0, |record| record.promotions),
            members,
            addresses: group.roster.addresses().clone(),
        };
        Some(Self {
            service: service.to_owned(),
            record,
            revision: recorded.map(|stored| stored.revision),
        })
    }

    fn as_write(&self) -> Write<'_> {
        Write {
            service: &self.service,
            record: &self.record,
            known: self.revision,
        }
    }
}

/// Writes the rosters with one call. If that fails, they are written one by one, as the record of a single
/// group may have changed.
pub async fn save(coordinator: Rc<Coordinator>, control: Rc<Control>, unsaved: Vec<Unsaved>) {
    let writes: Vec<Write<'_>> = unsaved.iter().map(Unsaved::as_write).collect();
    if let Err(failure) = write_records(&control, &writes).await {
        journal::trouble("rosters", &failure.to_string());
        match unsaved.len() {
            1 => tokio::time::sleep(RETRY_DELAY).await,
            _ => save_each(&control, &unsaved).await,
        }
    }
    let mut groups = coordinator.groups.borrow_mut();
    for Unsaved { service, .. } in &unsaved {
        if let Some(group) = groups.get_mut(service) {
            group.is_writing = false;
        }
    }
}

async fn save_each(control: &Control, unsaved: &[Unsaved]) {
    for Unsaved {
        service,
        record,
        revision,
    } in unsaved
    {
        if control.election.borrow().token(clock::now()) != Some(record.token) {
            return;
        }
        if let Err(failure) = write_record(control, service, record, *revision).await {
            journal::trouble("roster", &format!("{service}: {failure}"));
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
