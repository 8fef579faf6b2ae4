//! Brings a soak's faults about.

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
    series::{Place, Trouble},
};

/// How many servers there are.
const SERVERS: usize = 3;

/// A site on which faults are played.
pub struct Stage<'a> {
    pub site: Site,
    shared: &'a Shared,
    /// The version of the configuration.
    version: u64,
    /// The server that led when a step began that names its server by its place.
    leaders: BTreeMap<usize, usize>,
    /// The log lines of processes that have ended.
    past: Vec<String>,
}

impl<'a> Stage<'a> {
    /// A stage without faults.
    pub fn new(site: Site, shared: &'a Shared) -> Self {
        Self {
            site,
            shared,
            version: 1,
            leaders: BTreeMap::new(),
            past: Vec::new(),
        }
    }

    /// Plays all steps, each at its time.
    pub async fn play(&mut self, steps: &[Step]) {
        let mut moments: Vec<(Duration, usize, bool)> = steps
            .iter()
            .enumerate()
            .flat_map(|(index, s)| [(s.begins, index, true), (s.ends, index, false)])
            .collect();
        moments.sort_by_key(|(at, ..)| *at);
        let begun = Instant::now();
        for (at, index, begins) in moments {
            tokio::time::sleep(at.saturating_sub(begun.elapsed())).await;
            match steps[index].fault {
                Fault::Placed(place, trouble) => {
                    self.trouble(index, place, trouble, begins).await;
                }
                Fault::HeirCrowded if begins => {
                    let lasts = steps[index].ends - steps[index].begins;
                    self.site.overload_next_primary(lasts).await;
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
            (Fault::ProxyKilled(proxy), false) => self.restart(proxy),
            (Fault::ProxyStopped(proxy), false) => {
                site.proxies[proxy]
                    .process
                    .wait_for_exit(Duration::from_secs(8));
                self.restart(proxy);
            }
            (Fault::ProxyFrozen(proxy), _) => site.proxies[proxy].process.set_paused(begins),
            (Fault::ServerDead(server), _) => site.fault(server, "dead", begins).await,
            (Fault::ServerSilent(server), _) => site.fault(server, "silent", begins).await,
            (Fault::ServerCut(server), _) => site.fault(server, "cut", begins).await,
            (Fault::ServerDeaf(server), _) => site.fault(server, "deaf", begins).await,
            (Fault::ServerReborn(server), true) => site.restart_empty(server).await,
            (Fault::StoreDown, _) => site.store_fault("down", begins).await,
            (Fault::StoreRestored(_), true) => site.store_fault("down", true).await,
            (Fault::StoreRestored(age), false) => {
                site.restore_store(age).await;
                site.store_fault("down", false).await;
            }
            (Fault::StoreForgets, true) => site.store_fault("forget", true).await,
            (Fault::Configured, true) => {
                self.version += 1;
                site.configure(self.version, &[LATEST, SESSION]).await;
            }
            (
                Fault::ServerReborn(_)
                | Fault::StoreForgets
                | Fault::Configured
                | Fault::HeirCrowded
                | Fault::Placed(..),
                _,
            ) => {}
        }
    }

    /// Begins or ends the trouble of step `index`, which names its server by its place.
    async fn trouble(&mut self, index: usize, place: Place, trouble: Trouble, begins: bool) {
        let leader = match self.leaders.get(&index) {
            Some(leader) => *leader,
            None => self.leader().await,
        };
        self.leaders.insert(index, leader);
        let server = (leader + place as usize) % SERVERS;
        let site = &self.site;
        match trouble {
            Trouble::Crashed => site.fault(server, "crashed", begins).await,
            Trouble::Dead => {
                site.fault(server, "unlisted", begins).await;
                site.fault(server, "crashed", begins).await;
            }
            Trouble::Silent => site.fault(server, "silent", begins).await,
            Trouble::Cut => site.fault(server, "cut", begins).await,
            Trouble::CutFromNext => {
                let next = (server + 1) % SERVERS;
                site.partition_servers(server, next, begins).await;
            }
            Trouble::Deaf => site.fault(server, "deaf", begins).await,
            Trouble::Leaving => site.fault(server, "leaving", begins).await,
            Trouble::Busy => site.fault(server, "busy", begins).await,
            Trouble::Crowded => site.fault(server, "crowded", begins).await,
            Trouble::Emptied if begins => site.restart_empty(server).await,
            Trouble::Emptied => {}
        }
    }

    async fn leader(&self) -> usize {
        let leader = self.site.group().await["leader"].as_u64();
        leader.unwrap_or_default() as usize
    }

    fn restart(&mut self, proxy: usize) {
        self.past.extend(self.site.proxy_log(proxy));
        self.site.proxies[proxy] = self.site.start_proxy(proxy);
        let listen = self.site.proxies[proxy].listen.clone();
        self.shared.moved(proxy, listen);
    }

    /// All log lines of the stand-in and the proxies, those of ended processes too, in order of time.
    pub fn log(&self) -> Vec<String> {
        let mut lines = self.past.clone();
        lines.extend(self.site.standin_log());
        (0..self.site.proxies.len()).for_each(|proxy| lines.extend(self.site.proxy_log(proxy)));
        lines.sort_by_cached_key(|line| at_ms(line));
        lines
    }

    /// Writes the log into a file of the folder.
    pub fn keep_log(&self, folder: &Path, name: &str) {
        let written = std::fs::create_dir_all(folder)
            .and_then(|()| std::fs::write(folder.join(name), self.log().join("\n")));
        written.expect("the log is written");
    }
}

/// When a line was logged. A proxy's line begins with the proxy's index.
fn at_ms(line: &str) -> u64 {
    let json = line.find('{').map_or(line, |start| &line[start..]);
    let line: Value = serde_json::from_str(json).unwrap_or_default();
    line["at_ms"].as_u64().unwrap_or_default()
}
