//! Connections to a database server over the line protocol.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rocket::tokio::{
    self,
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{database::Server, Run, Shared, SERVICE};

/// Interval at which a commit checks whether replicas have received it.
const COMMIT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Simulated execution time of a read or write.
const STATEMENT_DURATION: Duration = Duration::from_millis(1);

/// Accepts connections to the server `index`. While the server is not running, they are closed at
/// the next update of the platform.
pub async fn serve(listener: TcpListener, index: usize, shared: Shared) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let incarnation = shared
            .platform
            .lock()
            .expect("platform lock is not poisoned")
            .database
            .servers[index]
            .incarnation;
        let connection = Connection {
            index,
            incarnation,
            shared: shared.clone(),
            transaction: None,
            prepared: BTreeMap::new(),
            session_variables: BTreeMap::new(),
            client: String::new(),
        };
        tokio::spawn(connection.run(stream));
    }
}

#[derive(Default)]
struct Transaction {
    writes: Vec<(String, String)>,
    failed: bool,
}

struct Connection {
    index: usize,
    /// Incarnation of the server that accepted the connection; the connection ends with it.
    incarnation: u64,
    shared: Shared,
    transaction: Option<Transaction>,
    /// Definitions of prepared statements by name. `EXEC` uses only the verb of the definition.
    prepared: BTreeMap<String, String>,
    /// Session variables set with `SET`.
    session_variables: BTreeMap<String, String>,
    /// The client name in `START`.
    client: String,
}

/// Result rows, or an error code and its text.
type Outcome = Result<Vec<String>, (&'static str, String)>;

impl Connection {
    async fn run(self, stream: TcpStream) {
        let (shared, index) = (self.shared.clone(), self.index);
        shared.update(|platform| platform.database.servers[index].connections += 1);
        self.serve(stream).await;
        shared.update(|platform| platform.database.servers[index].connections -= 1);
    }

    async fn serve(mut self, stream: TcpStream) {
        let (reader, mut writer) = stream.into_split();
        let mut lines = BufReader::new(reader).lines();
        let changed = self.shared.changed.clone();
        loop {
            let line = tokio::select! {
                line = lines.next_line() => line,
                () = changed.notified() => match self.has_ended() {
                    true => return,
                    false => continue,
                },
            };
            let Ok(Some(line)) = line else { return };
            if self.has_ended() {
                return;
            }
            if self.with_server(|server| server.fault.unresponsive) {
                continue;
            }
            let Some(answer) = self.answer(&line).await else {
                return;
            };
            // A server that crashes while it executes a statement does not answer it.
            if self.has_ended() || writer.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Whether the server has stopped or restarted since it accepted the connection.
    fn has_ended(&self) -> bool {
        let incarnation = self.incarnation;
        self.with_server(|server| !server.is_up() || server.incarnation != incarnation)
    }

    /// Whether a fault of the server rejects a request. A rejected request has no effect.
    fn rejects(&self, verb: &str) -> bool {
        let mut platform = self
            .shared
            .platform
            .lock()
            .expect("platform lock is not poisoned");
        let server = &mut platform.database.servers[self.index];
        match verb {
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => server.rejects_command(),
            "FETCH" | "PUT" | "COMMIT" => server.rejects_statement(),
            _ => false,
        }
    }

    fn with_server<T>(&self, inspect: impl FnOnce(&Server) -> T) -> T {
        let platform = self
            .shared
            .platform
            .lock()
            .expect("platform lock is not poisoned");
        inspect(&platform.database.servers[self.index])
    }

    async fn answer(&mut self, line: &str) -> Option<String> {
        let mut words = line.splitn(3, ' ');
        match words.next()? {
            "START" => {
                let start = (words.next()?, words.next().unwrap_or_default());
                let id = self.with_server(|server| server.id.clone());
                let expected = start.1.split(' ').nth(1).unwrap_or(&id);
                self.client = start.1.split(' ').next().unwrap_or_default().to_owned();
                if start.0 != SERVICE || expected != id {
                    return Some(format!("ERR MOVED {id}\r\n"));
                }
                let limit = self.shared.settings.max_connections;
                if self.with_server(|server| server.connections) > limit {
                    let index = self.index;
                    let count_rejection = |platform: &mut super::Platform| {
                        platform.database.servers[index].rejected_connections += 1;
                    };
                    self.shared.update(count_rejection);
                    return Some(format!("ERR MAXCONN {id}\r\n"));
                }
                Some(self.ready())
            }
            "QUERY" => {
                let (id, text) = (words.next()?, words.next().unwrap_or_default());
                let result = self.query(text).await?;
                if result.is_ok() {
                    self.record_run(id);
                }
                let ready = self.ready();
                Some(match result {
                    Ok(rows) => {
                        let signature =
                            self.with_server(|server| format!("{}.{}", server.id, server.term));
                        let rows: String =
                            rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
                        format!("{rows}DONE {signature}\r\n{ready}")
                    }
                    Err((code, text)) => format!("ERR {code} {text}\r\n{ready}"),
                })
            }
            _ => None,
        }
    }

    /// Records for tests which client a caller's statement was run for.
    fn record_run(&self, id: &str) {
        let run = Run {
            client: self.client.clone(),
            id: id.to_owned(),
            at: Instant::now(),
        };
        let mut platform = self
            .shared
            .platform
            .lock()
            .expect("platform lock is not poisoned");
        platform.runs.push(run);
    }

    fn ready(&self) -> String {
        let state = match &self.transaction {
            None => "I",
            Some(Transaction { failed: false, .. }) => "T",
            Some(Transaction { failed: true, .. }) => "E",
        };
        let lag = self.shared.settings.lag;
        let (term, number) = self.with_server(|server| server.applied_position(lag));
        format!("READY {state} {term}.{number}\r\n")
    }

    /// Executes a statement. `None` closes the connection.
    async fn query(&mut self, text: &str) -> Option<Outcome> {
        let (mut verb, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        if verb == "AFTER" {
            let (position, query) = rest.split_once(' ')?;
            let (term, number) = position.split_once('.')?;
            let wanted = (term.parse().ok()?, number.parse().ok()?);
            let lag = self.shared.settings.lag;
            if self.with_server(|server| server.applied_position(lag)) < wanted {
                return Some(Err((
                    "LAGGING",
                    self.with_server(|server| server.id.clone()),
                )));
            }
            (verb, rest) = query.split_once(' ').unwrap_or((query, ""));
        }
        let definition;
        if verb == "EXEC" {
            let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
            let Some(prepared_definition) = self.prepared.get(name) else {
                return Some(Err(("NOSTMT", name.to_owned())));
            };
            definition = prepared_definition.clone();
            verb = definition.split(' ').next().unwrap_or_default();
            rest = arguments;
        }
        if self.rejects(verb) {
            return Some(Err(("BUSY", self.with_server(|server| server.id.clone()))));
        }
        Some(match verb {
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => Ok(vec![self.run_command(verb, rest)]),
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.session_variables
                    .insert(name.to_owned(), value.to_owned());
                Ok(Vec::new())
            }
            "RESET" => {
                self.session_variables.clear();
                self.prepared.clear();
                Ok(Vec::new())
            }
            "PREPARE" => {
                let (name, definition) = rest.split_once(' ')?;
                self.prepared.insert(name.to_owned(), definition.to_owned());
                Ok(Vec::new())
            }
            "DEALLOC" => match self.prepared.remove(rest) {
                Some(_) => Ok(Vec::new()),
                None => Err(("NOSTMT", rest.to_owned())),
            },
            "BEGIN" => {
                if rest.is_empty() && !self.with_server(|server| server.primary) {
                    return Some(Err(self.read_only()));
                }
                self.transaction = Some(Transaction::default());
                Ok(Vec::new())
            }
            "ROLLBACK" => {
                self.transaction = None;
                Ok(Vec::new())
            }
            "FETCH" => self.fetch(rest).await,
            "PUT" => self.put(rest).await,
            "COMMIT" => match self.transaction.take() {
                Some(transaction) => self.commit(transaction.writes).await,
                None => Err(("SYNTAX", "no transaction".to_owned())),
            },
            _ => Err(("SYNTAX", verb.to_owned())),
        })
    }

    fn read_only(&self) -> (&'static str, String) {
        ("READONLY", self.with_server(|server| server.id.clone()))
    }

    /// Returns a row with the item's data, or `-` if it does not exist, followed by a row for each
    /// session variable.
    async fn fetch(&mut self, item: &str) -> Outcome {
        sleep(STATEMENT_DURATION).await;
        let lag = self.shared.settings.lag;
        let uncommitted = self
            .transaction
            .iter()
            .flat_map(|open| open.writes.iter().rev());
        let uncommitted = uncommitted
            .into_iter()
            .find(|(key, _)| key == item)
            .map(|(_, data)| data.clone());
        let stored = self.with_server(|server| {
            let entries: Vec<_> = server
                .visible_entries(lag)
                .filter(|e| e.item == item)
                .collect();
            entries.last().map(|entry| entry.data.clone())
        });
        let data = uncommitted.or(stored).unwrap_or_else(|| "-".to_owned());
        let mut rows = vec![data];
        rows.extend(
            self.session_variables
                .iter()
                .map(|(name, value)| format!("{name}={value}")),
        );
        Ok(rows)
    }

    async fn put(&mut self, rest: &str) -> Outcome {
        sleep(STATEMENT_DURATION).await;
        let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
        let write = (item.to_owned(), data.to_owned());
        if !self.with_server(|server| server.primary) {
            if let Some(transaction) = &mut self.transaction {
                transaction.failed = true;
            }
            return Err(self.read_only());
        }
        match &mut self.transaction {
            Some(transaction) => {
                transaction.writes.push(write);
                Ok(Vec::new())
            }
            None => self.commit(vec![write]).await,
        }
    }

    /// Appends `writes` to the log and waits until `sync_replicas` replicas have received them.
    async fn commit(&mut self, writes: Vec<(String, String)>) -> Outcome {
        if writes.is_empty() {
            return Ok(Vec::new());
        }
        if !self.with_server(|server| server.primary) {
            return Err(self.read_only());
        }
        let index = self.index;
        let position = self
            .shared
            .update(|platform| platform.database.append(index, &writes));
        loop {
            let sync_replicas = self.shared.settings.sync_replicas;
            let received = self.shared.update(|platform| {
                platform.database.replicate();
                platform.database.receivers(index, position)
            });
            if received >= sync_replicas {
                return Ok(Vec::new());
            }
            if !self.with_server(|server| server.primary) {
                return Err(("UNKNOWN", "the server lost leadership".to_owned()));
            }
            sleep(COMMIT_POLL_INTERVAL).await;
        }
    }

    /// Runs a control command and returns a row with the server's status after it.
    fn run_command(&mut self, verb: &str, rest: &str) -> String {
        let term: u64 = rest.parse().unwrap_or_default();
        let index = self.index;
        self.shared.update(|platform| {
            let server = &mut platform.database.servers[index];
            match verb {
                "PAUSE" if !server.primary && term > server.term => server.pause_term = term,
                "RESUME" => server.pause_term = 0,
                "STEPDOWN" if term > server.term => server.primary = false,
                _ => {}
            }
            let role = match server.primary {
                true => "primary",
                false => "replica",
            };
            let (last, number) = server.position();
            format!(
                "{role} {} {last}.{number} {} 0 0 1",
                server.term, server.pause_term
            )
        })
    }
}
