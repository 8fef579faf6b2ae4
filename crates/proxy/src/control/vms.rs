//! Follows the platform's list of VMs, for servers that are leaving.

use std::time::Duration;

use dandelionpitch_core::vms::{Client, State, Vm};
use tokio::sync::mpsc;

use super::Message;

/// How often the list is asked for; a list that has not changed is not sent again.
const EVERY: Duration = Duration::from_secs(1);

/// Sends the addresses of the leaving servers whenever the list changes.
///
/// A list that cannot be read leaves things as they are: a server that was leaving still is,
/// and one of which nothing is known serves on.
pub async fn run(url: String, out: mpsc::Sender<Message>) {
    let mut client = Client::new(&url);
    let mut failing = false;
    while !out.is_closed() {
        match client.read().await {
            Ok(list) => {
                failing = false;
                if let Some(list) = list {
                    let leaving = list.into_iter().filter(is_leaving).map(|vm| vm.address);
                    let _ = out.send(Message::Leaving(leaving.collect())).await;
                }
            }
            Err(error) if !failing => {
                failing = true;
                log::warn!(target: "control", "Lost the VM list: {error}.");
            }
            Err(_) => {}
        }
        tokio::time::sleep(EVERY).await;
    }
}

fn is_leaving(vm: &Vm) -> bool {
    vm.state == State::Leaving
}
