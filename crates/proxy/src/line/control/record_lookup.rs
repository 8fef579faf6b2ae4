//! Reads groups' records directly from the store for the traffic thread.

use std::rc::Rc;

use dandelionpitch_engine::commit::Snapshot;
use tokio::sync::mpsc;

use crate::line::{
    clock,
    control::{
        record::{Record, RECORD_PREFIX},
        state::Control,
    },
    journal,
    records::Request,
};

/// Serves requests until the process ends.
pub async fn run(control: Rc<Control>, mut requests: mpsc::UnboundedReceiver<Request>) {
    while let Some(request) = requests.recv().await {
        tokio::task::spawn_local(answer(control.clone(), request));
    }
}

async fn answer(control: Rc<Control>, request: Request) {
    let snapshot = read_snapshot(&control, &request.service).await;
    // The requester may have been cancelled.
    let _ = request.answer.send(snapshot);
}

async fn read_snapshot(control: &Control, service: &str) -> Option<Snapshot> {
    let asked = clock::now();
    let key = format!("{RECORD_PREFIX}{service}");
    let item = match control.store().get(&key).await {
        Ok(item) => item?,
        Err(error) => {
            control.metrics.store_error();
            journal::trouble("testimony", &format!("{service}: {error}"));
            return None;
        }
    };
    let record = Record::decode(&item)?;
    // The store was restored from a backup, which may predate a promotion.
    if !record.is_in_era_of(item.revision) {
        return None;
    }
    Some(Snapshot {
        asked,
        promoted: record.promoted().map(str::to_owned),
        members: record.members,
    })
}
