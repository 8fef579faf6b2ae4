//! Which proxies watch which group: read its servers' status and replace its primary.
//!
//! If every proxy read every server's status, the cost would grow with proxies times servers
//! (`docs/CAPACITY.md`). So each group has a few watchers, picked by rendezvous hashing over
//! the live proxies: everyone who knows the same proxies picks the same ones, and a proxy
//! that comes or goes moves only its own groups.

use std::cmp::Reverse;

use dandelionpitch_core::hash::Map;

use super::backoff;

/// How many proxies watch each group; with one dead and one cut off, one is left.
pub const WATCHERS: usize = 3;

/// One live proxy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    pub dc: String,
    pub id: String,
}

/// The watchers of `group` among `members`: first the best of each data centre, so that the
/// loss of one leaves the others, then the best of the rest.
pub fn watchers<'a>(group: &str, members: &'a [Member]) -> Vec<&'a Member> {
    let weight = |member: &Member| Reverse(backoff::salt(&(group, &member.dc, &member.id)));
    let mut ranked: Vec<&Member> = members.iter().collect();
    ranked.sort_by_cached_key(|member| (weight(member), member.id.clone()));
    let mut taken: Map<&str, usize> = Map::default();
    let mut rounds: Vec<(usize, &Member)> = ranked
        .into_iter()
        .map(|member| {
            let before = taken.entry(member.dc.as_str()).or_default();
            *before += 1;
            (*before, member)
        })
        .collect();
    rounds.sort_by_key(|(round, _)| *round);
    rounds
        .into_iter()
        .take(WATCHERS)
        .map(|(_, member)| member)
        .collect()
}
