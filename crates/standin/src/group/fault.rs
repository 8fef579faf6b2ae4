//! The faults an experiment can switch on in a stand-in group.

use dandelionpitch_core::hash::{Map, Set};

/// One fault, as `dandelionpitch_fault(kind, server[, detail])` names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// `kill`: the server drops every connection and refuses new ones.
    Kill(usize),
    /// `start`: a killed server comes back with its log.
    Start(usize),
    /// `wipe`: a killed server comes back on its address with an empty log.
    Wipe(usize),
    /// `freeze`: the server answers nothing and replicates nothing; connections stay open.
    Freeze(usize),
    /// `thaw`: the end of a freeze.
    Thaw(usize),
    /// `isolate`: the server is cut off from the other servers of the group.
    Isolate(usize),
    /// `join`: the end of an isolation.
    Join(usize),
    /// `cut`: callers of the data centre named in the detail get no answer from the server.
    Cut(usize, String),
    /// `heal`: the end of a cut.
    Heal(usize, String),
    /// `silence`: the connections the server has now get no further answer; new ones do.
    Silence(usize),
    /// `slow_fence`: the server answers a fence only this many milliseconds after obeying it.
    SlowFence(usize, u64),
}

impl Fault {
    /// Reads a fault from the arguments of its call.
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
            "join" => Self::Join(server),
            "cut" => Self::Cut(server, detail()?),
            "heal" => Self::Heal(server, detail()?),
            "silence" => Self::Silence(server),
            "slow_fence" => {
                let ms = detail()?.parse().map_err(|_| "slow_fence needs a number")?;
                Self::SlowFence(server, ms)
            }
            other => return Err(format!("no fault {other:?}")),
        })
    }

    /// The server the fault is for.
    pub fn server(&self) -> usize {
        match self {
            Self::Kill(server)
            | Self::Start(server)
            | Self::Wipe(server)
            | Self::Freeze(server)
            | Self::Thaw(server)
            | Self::Isolate(server)
            | Self::Join(server)
            | Self::Cut(server, _)
            | Self::Heal(server, _)
            | Self::Silence(server)
            | Self::SlowFence(server, _) => *server,
        }
    }
}

/// The faults in force between callers and servers.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    cuts: Set<(usize, String)>,
    slow_fence: Map<usize, u64>,
    /// How often each server's connections were silenced; a connection from before the last
    /// time stays silent.
    silences: Map<usize, u64>,
}

impl Faults {
    /// Cuts or heals the way from callers in `dc` to `server`.
    pub fn set_cut(&mut self, server: usize, dc: String, cut: bool) {
        match cut {
            true => self.cuts.insert((server, dc)),
            false => self.cuts.remove(&(server, dc)),
        };
    }

    /// Whether callers in `dc` get no answer from `server`.
    pub fn cut(&self, server: usize, dc: &str) -> bool {
        self.cuts.contains(&(server, dc.to_owned()))
    }

    /// Silences the connections `server` has now.
    pub fn silence(&mut self, server: usize) {
        *self.silences.entry(server).or_default() += 1;
    }

    /// How often `server`'s connections were silenced.
    pub fn silences(&self, server: usize) -> u64 {
        self.silences.get(&server).copied().unwrap_or_default()
    }

    /// Delays the answer to a fence on `server`.
    pub fn set_slow_fence(&mut self, server: usize, ms: u64) {
        self.slow_fence.insert(server, ms);
    }

    /// How late `server` answers a fence, in milliseconds.
    pub fn slow_fence(&self, server: usize) -> u64 {
        self.slow_fence.get(&server).copied().unwrap_or_default()
    }
}
