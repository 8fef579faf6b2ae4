//! Choices between ways to serve statements under load. The default of each is the behaviour without it.

use serde::Deserialize;

/// What happens to operations of client accounts for which there is no permit.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum QuotaShortage {
    /// They are refused at once.
    #[default]
    Refuse,
    /// They wait during a short spike, and callers are told different times to come back.
    Wait,
}

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
