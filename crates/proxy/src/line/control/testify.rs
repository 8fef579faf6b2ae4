//! Answers what traffic asks about groups' records, from the store itself.

use std::rc::Rc;

use dandelionpitch_engine::commit::Snapshot;
use tokio::sync::mpsc;

use crate::line::{
    clock,
    control::{
        record::{Record, RECORDS},
        state::Control,
    },
    journal,
    records::Request,
};

/// Answers until the process ends.
pub async fn run(control: Rc<Control>, mut inquiries: mpsc::UnboundedReceiver<Request>) {
    while let Some(inquiry) = inquiries.recv().await {
        tokio::task::spawn_local(answer(control.clone(), inquiry));
    }
}

async fn answer(control: Rc<Control>, inquiry: Request) {
    let testimony = testimony(&control, &inquiry.service).await;
    // Whoever asked may have given up meanwhile.
    let _ = inquiry.answer.send(testimony);
}

async fn testimony(control: &Control, service: &str) -> Option<Snapshot> {
    let asked = clock::now();
    let key = format!("{RECORDS}{service}");
    let item = match control.store().get(&key).await {
        Ok(item) => item?,
        Err(error) => {
            control.metrics.store_error();
            journal::trouble("testimony", &format!("{service}: {error}"));
            return None;
        }
    };
    let record = Record::read(&item)?;
    // The store came back from a copy, which may be from before a promotion.
    if !record.is_of(item.revision) {
        return None;
    }
    Some(Snapshot {
        asked,
        promoted: record.promoted().map(str::to_owned),
        members: record.members,
    })
}
