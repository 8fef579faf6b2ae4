//! A planned stop, and changes of the settings file while the process runs.
//!
//! On SIGTERM the process reports not ready at once but goes on accepting callers until the
//! balancer has certainly noticed; then resting sessions are closed, open transactions get half of
//! the grace period and statements under way the rest but its last part.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::signal::unix;
use tokio_util::sync::CancellationToken;

use crate::{config::Config, error::Error, line::journal};

/// How long the balancer needs to stop sending new callers: it asks once a second and believes the
/// second miss.
const NOTICE: Duration = Duration::from_millis(2_300);

/// Kept back at the end of the grace period: after it the process is killed.
const RESERVE: Duration = Duration::from_millis(700);

/// How often the stopping process looks whether all sessions have ended.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// How often the settings file is compared with what the process runs by.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);

/// The phases of a planned stop, shared by all who wait for them.
#[derive(Clone, Debug)]
pub struct Stop {
    grace: Duration,
    /// SIGTERM has come: not ready any more.
    begun: CancellationToken,
    /// Resting sessions are to end.
    resting: CancellationToken,
    /// Open transactions are to end.
    transactions: CancellationToken,
}

impl Stop {
    /// A stop that has not begun, of a process that is killed `grace` after it does.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            begun: CancellationToken::new(),
            resting: CancellationToken::new(),
            transactions: CancellationToken::new(),
        }
    }

    /// Cancelled when the stop begins.
    pub fn token(&self) -> CancellationToken {
        self.begun.clone()
    }

    /// Waits for SIGTERM and then until no new callers are sent here.
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
        self.begun.cancel();
        tokio::time::sleep(NOTICE.min(self.grace / 2)).await;
        self.resting.cancel();
        Ok(())
    }

    /// Returns when a session between two statements is to end.
    pub async fn wait_for_session_end(&self, idle: bool) {
        match idle {
            true => self.resting.cancelled().await,
            false => self.transactions.cancelled().await,
        }
    }

    /// Waits for the open sessions to end, within what the grace period leaves.
    pub async fn drain(&self, open: Rc<Cell<usize>>) {
        let begun = Instant::now() - NOTICE.min(self.grace / 2);
        let half = begun + self.grace / 2;
        let end = begun + self.grace.saturating_sub(RESERVE);
        while open.get() > 0 && Instant::now() < end {
            if Instant::now() >= half {
                self.transactions.cancel();
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
        journal::write(
            "drained",
            serde_json::json!({ "sessions_left": open.get() }),
        );
    }
}

/// Reads the settings again on SIGHUP, and when the file has changed without a signal. What cannot
/// be changed while the process runs is said in the log and holds from the next start.
pub async fn watch_settings(config: Config) {
    let Ok(mut hangup) = unix::signal(unix::SignalKind::hangup()) else {
        journal::trouble("settings", "SIGHUP cannot be caught");
        return;
    };
    let mut current = config;
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_EVERY) => false,
        };
        let Some(path) = current.path.clone() else {
            continue;
        };
        match Config::load(Some(&path)) {
            Ok(new) if new == current => {
                if asked {
                    journal::write("reload", serde_json::json!({ "changed": false }));
                }
            }
            Ok(new) => {
                let same = new.needs_no_restart(&current);
                journal::write(
                    "reload",
                    serde_json::json!({ "changed": true, "in_force": same }),
                );
                current = new;
            }
            Err(error) => journal::trouble("settings", &error.to_string()),
        }
    }
}
