//! Injects the faults of a soak test.

use std::{
    collections::BTreeMap,
    path::Path,
    time::{Duration, Instant},
};

use serde_json::Value;

use super::{
    caller::Shared,
    fixture::line::{Site, LATEST, SESSION},
    plan::{Fault, Step},
    series::{ServerFault, Target},
};

const SERVERS: usize = 3;

/// Injects faults into a site.
pub struct Injector<'a> {
    pub site: Site,
    shared: &'a Shared,
    config_version: u64,
    /// For each step with a [`Target`], by its index, the primary when the step began.
    primaries: BTreeMap<usize, usize>,
    /// The log lines of proxy processes that have exited.
    exited_logs: Vec<String>,
}

impl<'a> Injector<'a> {
    pub fn new(site: Site, shared: &'a Shared) -> Self {
        Self {
            site,
            shared,
            config_version: 1,
            primaries: BTreeMap::new(),
            exited_logs: Vec::new(),
        }
    }

    /// Begins and ends the fault of each step at its time.
    pub async fn run(&mut self, steps: &[Step]) {
        let mut events: Vec<(Duration, usize, bool)> = steps
            .iter()
            .enumerate()
            .flat_map(|(index, s)| [(s.begins, index, true), (s.ends, index, false)])
            .collect();
        events.sort_by_key(|(at, ..)| *at);
        let started_at = Instant::now();
        for (at, index, begins) in events {
            tokio::time::sleep(at.saturating_sub(started_at.elapsed())).await;
            match steps[index].fault {
                Fault::Targeted(target, fault) => {
                    self.apply_server_fault(index, target, fault, begins).await;
                }
                Fault::NextPrimaryOverloaded if begins => {
                    let duration = steps[index].ends - steps[index].begins;
                    self.site.overload_next_primary(duration).await;
                }
                fault => self.apply(fault, begins).await,
            }
        }
    }

    /// Begins or ends a fault.
    async fn apply(&mut self, fault: Fault, begins: bool) {
        let site = &mut self.site;
        match (fault, begins) {
            (Fault::ProxyKilled(proxy), true) => site.proxies[proxy].process.kill(),
            (Fault::ProxyStopped(proxy), true) => site.proxies[proxy].process.terminate(),
            (Fault::ProxyKilled(proxy), false) => self.restart_proxy(proxy),
            (Fault::ProxyStopped(proxy), false) => {
                let stopped = site.proxies[proxy]
                    .process
                    .wait_for_exit(Duration::from_secs(8));
                assert!(stopped, "proxy {proxy} still runs 8 s after SIGTERM");
                self.restart_proxy(proxy);
            }
            (Fault::ProxyFrozen(proxy), _) => site.proxies[proxy].process.set_paused(begins),
            (Fault::ServerStopped(server), _) => site.fault(server, "dead", begins).await,
            (Fault::ServerUnresponsive(server), _) => site.fault(server, "silent", begins).await,
            (Fault::ServerPartitioned(server), _) => site.fault(server, "cut", begins).await,
            (Fault::ServerNotReplicating(server), _) => site.fault(server, "deaf", begins).await,
            (Fault::ServerRestartedEmpty(server), true) => site.restart_empty(server).await,
            (Fault::StoreDown, _) => site.store_fault("down", begins).await,
            (Fault::StoreRestored(_), true) => site.store_fault("down", true).await,
            (Fault::StoreRestored(age), false) => {
                site.restore_store(age).await;
                site.store_fault("down", false).await;
            }
            (Fault::StoreCompacted, true) => site.store_fault("forget", true).await,
            (Fault::ConfigurationPublished, true) => {
                self.config_version += 1;
                site.configure(self.config_version, &[LATEST, SESSION])
                    .await;
            }
            (
                Fault::ServerRestartedEmpty(_)
                | Fault::StoreCompacted
                | Fault::ConfigurationPublished
                | Fault::NextPrimaryOverloaded
                | Fault::Targeted(..),
                _,
            ) => {}
        }
    }

    /// Begins or ends the fault of step `index`, whose server is chosen relative to the primary.
    async fn apply_server_fault(
        &mut self,
        index: usize,
        target: Target,
        fault: ServerFault,
        begins: bool,
    ) {
        let primary = match self.primaries.get(&index) {
            Some(primary) => *primary,
            None => self.primary().await,
        };
        self.primaries.insert(index, primary);
        let server = (primary + target as usize) % SERVERS;
        let site = &self.site;
        match fault {
            ServerFault::Crashed => site.fault(server, "crashed", begins).await,
            ServerFault::CrashedUnregistered => {
                site.fault(server, "unlisted", begins).await;
                site.fault(server, "crashed", begins).await;
            }
            ServerFault::Unresponsive => site.fault(server, "silent", begins).await,
            ServerFault::Partitioned => site.fault(server, "cut", begins).await,
            ServerFault::PartitionedFromNext => {
                let next = (server + 1) % SERVERS;
                site.partition_servers(server, next, begins).await;
            }
            ServerFault::NotReplicating => site.fault(server, "deaf", begins).await,
            ServerFault::Draining => site.fault(server, "leaving", begins).await,
            ServerFault::Busy => site.fault(server, "busy", begins).await,
            ServerFault::Overloaded => site.fault(server, "crowded", begins).await,
            ServerFault::RestartedEmpty if begins => site.restart_empty(server).await,
            ServerFault::RestartedEmpty => {}
        }
    }

    async fn primary(&self) -> usize {
        let primary = self.site.group().await["leader"].as_u64();
        primary.unwrap_or_default() as usize
    }

    fn restart_proxy(&mut self, proxy: usize) {
        self.exited_logs.extend(self.site.proxy_log(proxy));
        self.site.proxies[proxy] = self.site.start_proxy(proxy);
        let addr = self.site.proxies[proxy].listen.clone();
        self.shared.set_address(proxy, addr);
    }

    /// All log lines of the stand-in and the proxies, including exited processes, ordered by time.
    pub fn log(&self) -> Vec<String> {
        let mut lines = self.exited_logs.clone();
        lines.extend(self.site.standin_log());
        (0..self.site.proxies.len()).for_each(|proxy| lines.extend(self.site.proxy_log(proxy)));
        lines.sort_by_cached_key(|line| logged_at_ms(line));
        lines
    }

    /// Writes the log to the file `name` in `folder`.
    pub fn write_log(&self, folder: &Path, name: &str) {
        let result = std::fs::create_dir_all(folder)
            .and_then(|()| std::fs::write(folder.join(name), self.log().join("\n")));
        result.expect("the log is written");
    }
}

/// The time at which a line was logged. A proxy's line begins with the proxy's index.
fn logged_at_ms(line: &str) -> u64 {
    let json = line.find('{').map_or(line, |start| &line[start..]);
    let line: Value = serde_json::from_str(json).unwrap_or_default();
    line["at_ms"].as_u64().unwrap_or_default()
}
