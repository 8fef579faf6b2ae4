//! One task per backend server that reads its status over and over.
//!
//! Each server has a task of its own, so that one that is frozen or cut off delays nobody
//! else's status.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, Notify},
    task::JoinHandle,
};
use tokio_postgres::Client;

use super::Message;
use crate::{
    backend,
    config::{Backend, Config},
    view::Status,
};

/// A running probe; it ends when this is dropped.
#[derive(Debug)]
pub struct Probe {
    task: JoinHandle<()>,
    wake: Arc<Notify>,
}

impl Probe {
    /// Starts reading the status of the server at `address`.
    pub fn start(
        address: SocketAddr,
        database: &str,
        config: &Config,
        out: mpsc::Sender<Message>,
    ) -> Self {
        let wake = Arc::new(Notify::new());
        let options = backend::options(address, database, config);
        let reader = Reader {
            options,
            settings: config.backend.clone(),
            client: None,
        };
        let task = tokio::spawn(run(address, reader, wake.clone(), out));
        Self { task, wake }
    }

    /// Reads the status now instead of at the next period.
    pub fn hurry(&self) {
        self.wake.notify_one();
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Reader {
    options: tokio_postgres::Config,
    settings: Backend,
    client: Option<Client>,
}

impl Reader {
    /// The status, or `None` when the server did not give it in time.
    ///
    /// Failure: the connection has gone silent for good, and its server would count as gone
    /// though new connections work. Guard: a read that fails drops the connection, and the
    /// next one opens another.
    async fn read(&mut self) -> Option<Status> {
        let limit = self.settings.status_timeout;
        let client = match self.client.take().filter(|client| !client.is_closed()) {
            Some(client) => client,
            None => backend::connect(&self.options, limit).await.ok()?,
        };
        let status = backend::status(&client, limit).await.ok()?;
        self.client = Some(client);
        Some(status)
    }
}

async fn run(
    address: SocketAddr,
    mut reader: Reader,
    wake: Arc<Notify>,
    out: mpsc::Sender<Message>,
) {
    let period: Duration = reader.settings.status_every;
    loop {
        let status = reader.read().await;
        if out.send(Message::Status { address, status }).await.is_err() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = wake.notified() => {}
        }
    }
}
