//! Finds the servers for a linearizable read: the primary, or without one any server that has the
//! position of a quorum.

use std::{pin::pin, rc::Rc, time::Duration};

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::refusal::Refusal;
use futures::future::{select, Either};

use crate::line::{
    backend::Backend,
    clock,
    group::Group,
    traffic::{autocommit::confirmed_leader, call::Call},
};

/// How long the replicas may take to confirm the known primary before a quorum is asked. Covers a
/// status request queued behind a typical statement.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(40);

/// How long a read prefers a primary that is searched to the position of a quorum. The answers that prove the
/// position often come just before the primary's own, and the replicas have not applied it yet: after a start
/// of all proxies such reads would be refused as lagging.
const PRIMARY_PREFERENCE: Duration = Duration::from_millis(40);

/// How long a read may wait for a quorum: until the next search starts, and for its answers.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(200);

/// The servers that may run a read, in order of preference, and the position that the server's log
/// must have reached.
pub type Targets = (Vec<Rc<Backend>>, Option<Position>);

/// Returns the servers for a linearizable read. `own` is the session's last commit.
///
/// A quorum is asked only if the primary is unknown, has just failed to answer, or is not soon proved
/// to lead, as each search costs status requests and a read of the store.
pub async fn find(
    group: &Rc<Group>,
    call: &Call<'_>,
    own: Option<Position>,
) -> Result<Targets, Refusal> {
    let by_leader = pin!(async {
        let leader = confirmed_leader(group, call).await?;
        Ok((leader, group.newest_position()))
    });
    if call.isolated {
        return by_leader.await;
    }
    let leader = group.known_leader().map(|leader| leader.backend);
    let is_avoided = leader
        .as_ref()
        .is_some_and(|leader| leader.is_avoided(clock::now()));
    let confirmation_timeout = match leader.is_some() && !is_avoided {
        true => CONFIRMATION_TIMEOUT,
        false => Duration::ZERO,
    };
    let prefers_primary_until = clock::now() + PRIMARY_PREFERENCE;
    let by_quorum = pin!(async {
        let targets = find_by_quorum(group, call, own, confirmation_timeout).await;
        if leader.is_none() {
            tokio::time::sleep(clock::now().until(prefers_primary_until)).await;
            if group.known_leader().is_some() {
                tokio::time::sleep(CONFIRMATION_TIMEOUT).await;
            }
        }
        targets
    });
    if is_avoided {
        return match by_quorum.await {
            Some(targets) => Ok(targets),
            None => by_leader.await,
        };
    }
    match select(by_leader, by_quorum).await {
        Either::Left((Ok(targets), _)) | Either::Right((Some(targets), _)) => Ok(targets),
        Either::Left((Err(refusal), by_quorum)) => by_quorum.await.ok_or(refusal),
        Either::Right((None, by_leader)) => by_leader.await,
    }
}

/// Returns the servers for the read, with the position of a quorum, which is asked after `delay`.
async fn find_by_quorum(
    group: &Rc<Group>,
    call: &Call<'_>,
    own: Option<Position>,
    delay: Duration,
) -> Option<Targets> {
    tokio::time::sleep(delay).await;
    let until_due = clock::now().until(call.arrived + call.route.target);
    let limit = until_due.min(QUORUM_TIMEOUT);
    let position = group.quorum_position(call.arrived, limit).await?;
    let after = Some(position).max(own);
    let servers = group.read_candidates(call.account, after, clock::now());
    Some((servers, after))
}
