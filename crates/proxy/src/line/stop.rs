//! Graceful shutdown, and checks of the settings file while the process runs.
//!
//! On SIGTERM the process reports not ready, but accepts callers until the load balancer has
//! noticed. Then it closes idle sessions. Open transactions may continue until half of the grace
//! period has passed, and statements in flight until shortly before its end.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::signal::unix;
use tokio_util::sync::CancellationToken;

use crate::{config::Config, error::Error, line::journal};

/// How long the load balancer takes to stop sending new callers: it checks readiness once a second
/// and removes a proxy after the second failed check.
const BALANCER_DELAY: Duration = Duration::from_millis(2_300);

/// How long before the end of the grace period, when it would be killed, the process exits.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// How often a stopping process checks whether all sessions have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How often the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The phases of a graceful shutdown.
#[derive(Clone, Debug)]
pub struct Stop {
    grace: Duration,
    /// Cancelled when the shutdown starts. The process then reports not ready.
    started: CancellationToken,
    /// Cancelled when idle sessions are to end.
    idle_end: CancellationToken,
    /// Cancelled when sessions with open transactions are to end.
    transactions_end: CancellationToken,
}

impl Stop {
    /// A shutdown that has not started, of a process that is killed `grace` after SIGTERM.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            started: CancellationToken::new(),
            idle_end: CancellationToken::new(),
            transactions_end: CancellationToken::new(),
        }
    }

    /// The token that is cancelled when the shutdown starts.
    pub fn shutdown_token(&self) -> CancellationToken {
        self.started.clone()
    }

    /// Waits for SIGTERM or Ctrl-C, then until the load balancer no longer sends new callers, and
    /// lets idle sessions end.
    ///
    /// # Errors
    /// The handler for SIGTERM cannot be installed.
    pub async fn wait_for_listener_close(self) -> Result<(), Error> {
        let terminate = unix::SignalKind::terminate();
        let mut signal = unix::signal(terminate).map_err(Error::Listen)?;
        tokio::select! {
            _ = signal.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        journal::write(
            "stopping",
            serde_json::json!({ "grace_ms": self.grace.as_millis() as u64 }),
        );
        self.started.cancel();
        tokio::time::sleep(BALANCER_DELAY.min(self.grace / 2)).await;
        self.idle_end.cancel();
        Ok(())
    }

    /// Returns when a session between two statements is to end; `idle` means that it has no open
    /// transaction.
    pub async fn wait_for_session_end(&self, idle: bool) {
        match idle {
            true => self.idle_end.cancelled().await,
            false => self.transactions_end.cancelled().await,
        }
    }

    /// Waits until `open_count` is 0 or shortly before the grace period ends. Called when idle sessions
    /// have been told to end.
    pub async fn drain(&self, open_count: Rc<Cell<usize>>) {
        let started = Instant::now() - BALANCER_DELAY.min(self.grace / 2);
        let half = started + self.grace / 2;
        let end = started + self.grace.saturating_sub(KILL_MARGIN);
        while open_count.get() > 0 && Instant::now() < end {
            if Instant::now() >= half {
                self.transactions_end.cancel();
            }
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        journal::write(
            "drained",
            serde_json::json!({ "sessions_left": open_count.get() }),
        );
    }
}

/// Reads the settings file on SIGHUP and whenever it has changed, and logs mistakes in it. The changes
/// apply from the next start.
pub async fn watch_settings(config: Config) {
    let Ok(mut hangup) = unix::signal(unix::SignalKind::hangup()) else {
        journal::trouble("settings", "SIGHUP cannot be caught");
        return;
    };
    let mut current = config;
    loop {
        let requested = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => false,
        };
        let Some(path) = current.path.clone() else {
            continue;
        };
        match Config::load(Some(&path)) {
            Ok(new) if new == current => {
                if requested {
                    journal::write("reload", serde_json::json!({ "changed": false }));
                }
            }
            Ok(new) => {
                journal::write(
                    "reload",
                    serde_json::json!({ "changed": true, "in_force": false }),
                );
                current = new;
            }
            Err(error) => journal::trouble("settings", &error.to_string()),
        }
    }
}
