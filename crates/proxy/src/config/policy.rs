//! Choices between ways to serve statements under load. The default of each is the behaviour without it.

use serde::Deserialize;

/// How replicas that lack the log position of a read are avoided.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaLag {
    /// A replica that refused a read is tried last for a short time.
    #[default]
    Observed,
    /// A read is sent to a replica when the replica is expected to have the position, judged by its
    /// progress.
    Predicted,
}

/// What is done with a statement that finds no primary.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Recovery {
    /// It is refused with a fixed retry-after.
    #[default]
    Refuse,
    /// It waits for a primary if it can still be answered in time, and is otherwise refused with the time
    /// at which there will probably be one.
    Wait,
}
