//! One task per backend server that polls its status.
//!
//! Each server has its own task, so that a frozen or partitioned server does not delay the status
//! of the others.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

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

/// A running probe, which stops when this value is dropped.
#[derive(Debug)]
pub struct Probe {
    task: JoinHandle<()>,
    wake: Arc<Notify>,
}

impl Probe {
    /// Starts polling the status of the server at `address`.
    pub fn start(
        address: SocketAddr,
        database: &str,
        config: &Config,
        tx: mpsc::Sender<Message>,
    ) -> Self {
        let wake = Arc::new(Notify::new());
        let options = backend::options(address, database, config);
        let reader = Reader {
            options,
            settings: config.backend.clone(),
            client: None,
        };
        let task = tokio::spawn(run(address, reader, wake.clone(), tx));
        Self { task, wake }
    }

    /// Reads the status without waiting for the next period.
    pub fn read_now(&self) {
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
    /// Reads the status; returns `None` if the server does not answer within the timeout.
    ///
    /// A failed read closes the connection and the next read opens a new one, so a connection that
    /// the network dropped silently does not make its server look unreachable.
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
    tx: mpsc::Sender<Message>,
) {
    let period: Duration = reader.settings.status_every;
    loop {
        let asked_at = Instant::now();
        let status = reader.read().await;
        let message = Message::Status {
            address,
            asked_at,
            status,
        };
        if tx.send(message).await.is_err() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = wake.notified() => {}
        }
    }
}
