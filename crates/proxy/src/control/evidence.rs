//! What a failover decision was based on, as text for the log.

use std::{fmt, time::Instant};

use super::Leader;
use crate::view::{Group, Server};

/// The inputs of one decision about a group.
pub struct Evidence<'a> {
    pub group: &'a Group,
    pub last_leader: Option<Leader>,
    pub now: Instant,
}

impl Evidence<'_> {
    fn age_ms(&self, at: Instant) -> u128 {
        self.now.saturating_duration_since(at).as_millis()
    }

    fn fmt_server(&self, f: &mut fmt::Formatter<'_>, server: &Server) -> fmt::Result {
        write!(f, "; {}", server.address)?;
        if server.leaving {
            f.write_str(" (leaving)")?;
        }
        match server.status.get() {
            Some(status) => write!(
                f,
                " {:?} term {} at {} silent {} ms, read {} ms ago",
                status.role,
                status.term,
                status.position,
                status.silence.as_millis(),
                self.age_ms(status.read_at)
            ),
            None => f.write_str(" no status"),
        }
    }
}

impl fmt::Display for Evidence<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.last_leader {
            Some(leader) => write!(
                f,
                "last primary {} since {} ms",
                leader.server,
                self.age_ms(leader.since)
            )?,
            None => f.write_str("no primary seen yet")?,
        }
        match &self.group.stored {
            Some(stored) => write!(
                f,
                "; record {} ms ago: term {}, {}",
                self.age_ms(stored.seen_at),
                stored.record.term,
                match stored.record.server {
                    Some(server) => format!("primary {server}"),
                    None => format!("claimed by {}", stored.record.claimant),
                }
            )?,
            None => f.write_str("; no record")?,
        }
        for server in &self.group.servers {
            self.fmt_server(f, server)?;
        }
        Ok(())
    }
}
