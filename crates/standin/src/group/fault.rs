//! Faults that a test can inject into a group.

use dandelionpitch_core::hash::{Map, Set};

/// A fault, requested with `SELECT dandelionpitch_fault(kind, server[, detail])`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// `kill`: the server closes every connection and refuses new ones.
    Kill(usize),
    /// `start`: a killed server restarts with its log.
    Start(usize),
    /// `wipe`: a killed server restarts on its address with its log lost.
    Wipe(usize),
    /// `freeze`: the server stops answering and replicating; connections stay open.
    Freeze(usize),
    /// `thaw`: ends `freeze`.
    Thaw(usize),
    /// `isolate`: the server is partitioned from the other servers of the group.
    Isolate(usize),
    /// `join`: ends `isolate`.
    Rejoin(usize),
    /// `cut`: the server does not answer callers in the data centre named by the detail.
    Partition(usize, String),
    /// `heal`: ends `cut`.
    Heal(usize, String),
    /// `silence`: connections that are open now get no further answers; new ones do.
    Silence(usize),
    /// `slow_fence`: the server answers a fence this many milliseconds after applying it.
    SlowFence(usize, u64),
}

impl Fault {
    /// Parses the arguments of a `dandelionpitch_fault` call.
    pub fn parse(arguments: &[String]) -> Result<Self, String> {
        let kind = arguments.first().map_or("", String::as_str);
        let server = arguments
            .get(1)
            .and_then(|text| text.parse().ok())
            .ok_or("dandelionpitch_fault needs a kind and a server number")?;
        let detail = || {
            let detail = arguments.get(2).cloned();
            detail.ok_or_else(|| format!("fault {kind} needs a detail"))
        };
        Ok(match kind {
            "kill" => Self::Kill(server),
            "start" => Self::Start(server),
            "wipe" => Self::Wipe(server),
            "freeze" => Self::Freeze(server),
            "thaw" => Self::Thaw(server),
            "isolate" => Self::Isolate(server),
            "join" => Self::Rejoin(server),
            "cut" => Self::Partition(server, detail()?),
            "heal" => Self::Heal(server, detail()?),
            "silence" => Self::Silence(server),
            "slow_fence" => {
                let ms = detail()?.parse().map_err(|_| "slow_fence needs a number")?;
                Self::SlowFence(server, ms)
            }
            other => return Err(format!("unknown fault {other:?}")),
        })
    }

    pub fn server(&self) -> usize {
        match self {
            Self::Kill(server)
            | Self::Start(server)
            | Self::Wipe(server)
            | Self::Freeze(server)
            | Self::Thaw(server)
            | Self::Isolate(server)
            | Self::Rejoin(server)
            | Self::Partition(server, _)
            | Self::Heal(server, _)
            | Self::Silence(server)
            | Self::SlowFence(server, _) => *server,
        }
    }
}

/// Active faults on the connections between callers and servers.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    partitions: Set<(usize, String)>,
    fence_delays: Map<usize, u64>,
    /// Number of `silence` faults per server. A connection opened before the most recent one gets
    /// no answers.
    silence_counts: Map<usize, u64>,
}

impl Faults {
    /// Partitions `server` from callers in `dc`, or heals that partition.
    pub fn set_partitioned(&mut self, server: usize, dc: String, partitioned: bool) {
        match partitioned {
            true => self.partitions.insert((server, dc)),
            false => self.partitions.remove(&(server, dc)),
        };
    }

    pub fn is_partitioned(&self, server: usize, dc: &str) -> bool {
        self.partitions.contains(&(server, dc.to_owned()))
    }

    /// Stops answers on the open connections of `server`.
    pub fn silence(&mut self, server: usize) {
        *self.silence_counts.entry(server).or_default() += 1;
    }

    pub fn silence_count(&self, server: usize) -> u64 {
        self.silence_counts
            .get(&server)
            .copied()
            .unwrap_or_default()
    }

    pub fn set_fence_delay(&mut self, server: usize, ms: u64) {
        self.fence_delays.insert(server, ms);
    }

    pub fn fence_delay_ms(&self, server: usize) -> u64 {
        self.fence_delays.get(&server).copied().unwrap_or_default()
    }
}
