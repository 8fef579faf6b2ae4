//! Polls the platform's VM list for servers that are about to be stopped.

use std::time::Duration;

use dandelionpitch_core::vms::{Client, State, Vm};
use tokio::sync::mpsc;

use super::Message;

const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Sends the addresses of all leaving servers whenever the list changes.
///
/// While the list cannot be read, the last list stays in effect.
pub async fn run(url: String, tx: mpsc::Sender<Message>) {
    let mut client = Client::new(&url);
    let mut failing = false;
    while !tx.is_closed() {
        match client.read().await {
            Ok(list) => {
                failing = false;
                if let Some(list) = list {
                    let leaving = list.into_iter().filter(is_leaving).map(|vm| vm.address);
                    let _ = tx.send(Message::Leaving(leaving.collect())).await;
                }
            }
            Err(error) if !failing => {
                failing = true;
                log::warn!(target: "control", "Could not read the VM list: {error}.");
            }
            Err(_) => {}
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn is_leaving(vm: &Vm) -> bool {
    vm.state == State::Leaving
}
