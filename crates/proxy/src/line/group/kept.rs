//! Whether a commit is on a server that counts, before its caller is told so.

use std::{rc::Rc, time::Duration};

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    freshness::{self, Poll, Word},
    takeover::Status,
    time::Moment,
};
use dandelionpitch_platform::Error;
use futures::{stream::FuturesUnordered, StreamExt};
use tokio::time::{sleep, timeout};

use super::Group;

use crate::line::{backend::Backend, clock};

/// How long the nearest replica is waited for before the next is asked as well: a status behind
/// one statement of usual length.
const HEDGE: Duration = Duration::from_millis(40);

/// The pause before the replicas are asked again. A commit reaches them within some milliseconds.
const ASK_AGAIN: Duration = Duration::from_millis(10);

impl Group {
    /// Whether a commit at `position` of `backend` is on another server that counts for a promotion;
    /// asks until `limit` has passed.
    ///
    /// Failure: the primary and a replica that has just come are cut off together, or the replica is
    /// lost. It acknowledges commits before its registration is seen, so the promoter does not know
    /// of it, and the server that is promoted lacks what callers were told is kept (8 to 28 commits
    /// in a day of 34 s). Guard: a caller hears of its commit only when a replica has it that stands
    /// on the promoter's list; any set that a promoter holds shares a server with it and the primary.
    /// Cost: one question a commit, 0.005 of the worth of a day and about 2 ms.
    pub async fn is_kept(
        &self,
        backend: &Rc<Backend>,
        position: Option<Position>,
        limit: Duration,
    ) -> bool {
        let sync_replicas = self.sync_replicas.get();
        let (Some(position), true) = (position, sync_replicas > 0) else {
            return true;
        };
        let mut replicas = self.servers();
        replicas.retain(|replica| {
            let counts = replica.counted.get() && !replica.is_missing();
            counts && !Rc::ptr_eq(replica, backend)
        });
        replicas.sort_by_key(|replica| {
            let leaving = replica.is_leaving();
            let remote = replica.server.dc != self.dc;
            (replica.avoided(clock::now()), leaving, remote)
        });
        let found = async {
            loop {
                if self.ask_for_commit(&replicas, position).await {
                    return;
                }
                sleep(ASK_AGAIN).await;
            }
        };
        timeout(limit, found).await.is_ok()
    }

    /// Asks the replicas one after the other, each a little later than the one before.
    async fn ask_for_commit(&self, replicas: &[Rc<Backend>], position: Position) -> bool {
        let ask = |(place, replica)| ask_after(HEDGE * place, replica);
        let mut answers: FuturesUnordered<_> = (0..).zip(replicas).map(ask).collect();
        while let Some((replica, asked, answer)) = answers.next().await {
            // Its reason was noted where it was asked.
            let Ok(status) = answer else { continue };
            if freshness::has_commit(status.received, position) {
                self.note_confirmation(replica, asked, &status);
                return true;
            }
        }
        false
    }

    /// Takes the word of the replica that has the commit for the primary's lease as well.
    fn note_confirmation(&self, replica: &Rc<Backend>, asked: Moment, status: &Status) {
        let Some(leader) = self.known_leader() else {
            return;
        };
        match freshness::word(status, leader.term) {
            Word::Obeys => self.confirmed(Poll {
                asked,
                obey: 1,
                others: self.servers().len().saturating_sub(1),
                sync_replicas: self.sync_replicas.get(),
            }),
            Word::Supersedes => self.superseded(&leader, replica, status),
            Word::Nothing => {}
        }
    }
}

async fn ask_after(
    pause: Duration,
    replica: &Rc<Backend>,
) -> (&Rc<Backend>, Moment, Result<Status, Error>) {
    sleep(pause).await;
    let asked = clock::now();
    (replica, asked, replica.status().await)
}
