//! One database server's connections.

use std::{collections::BTreeMap, time::Duration};

use rocket::tokio::{
    self,
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{database::Server, Shared, SERVICE};

/// How often a waiting commit looks whether it has been received.
const LOOK: Duration = Duration::from_millis(2);

/// How long a read or write takes.
const WORK: Duration = Duration::from_millis(1);

/// Accepts connections of the server `index`; those to a dead server are closed at once.
pub async fn serve(listener: TcpListener, index: usize, shared: Shared) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let life = shared
            .world
            .lock()
            .expect("no change panics")
            .database
            .servers[index]
            .life;
        let connection = Connection {
            index,
            life,
            shared: shared.clone(),
            transaction: None,
            names: BTreeMap::new(),
            values: BTreeMap::new(),
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
    /// The life of the server that accepted it; the connection ends with it.
    life: u64,
    shared: Shared,
    transaction: Option<Transaction>,
    names: BTreeMap<String, String>,
    values: BTreeMap<String, String>,
}

/// Rows and the last line's words, or a code and a text.
type Outcome = Result<Vec<String>, (&'static str, String)>;

impl Connection {
    async fn run(self, stream: TcpStream) {
        let (shared, index) = (self.shared.clone(), self.index);
        shared.change(|world| world.database.servers[index].connections += 1);
        self.serve(stream).await;
        shared.change(|world| world.database.servers[index].connections -= 1);
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
            if self.read(|server| server.fault.silent) {
                continue;
            }
            let Some(answer) = self.answer(&line).await else {
                return;
            };
            // A server that crashes while it works on a statement answers nothing.
            if self.has_ended() || writer.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Whether the server has stopped, or started again, since it accepted the connection.
    fn has_ended(&self) -> bool {
        let life = self.life;
        self.read(|server| !server.is_up() || server.life != life)
    }

    /// Whether the server has no time for a request; it then does nothing of what was asked.
    fn is_refused(&self, verb: &str) -> bool {
        let mut world = self.shared.world.lock().expect("no change panics");
        let server = &mut world.database.servers[self.index];
        match verb {
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => server.refuses_order(),
            "FETCH" | "PUT" | "COMMIT" => server.refuses_statement(),
            _ => false,
        }
    }

    fn read<T>(&self, read: impl FnOnce(&Server) -> T) -> T {
        let world = self.shared.world.lock().expect("no change panics");
        read(&world.database.servers[self.index])
    }

    async fn answer(&mut self, line: &str) -> Option<String> {
        let mut words = line.splitn(3, ' ');
        match words.next()? {
            "START" => {
                let rest = (words.next()?, words.next().unwrap_or_default());
                let id = self.read(|server| server.id.clone());
                let expected = rest.1.split(' ').nth(1).unwrap_or(&id);
                if rest.0 != SERVICE || expected != id {
                    return Some(format!("ERR MOVED {id}\r\n"));
                }
                let most = self.shared.settings.max_connections;
                if self.read(|server| server.connections) > most {
                    let index = self.index;
                    let away = |world: &mut super::World| {
                        world.database.servers[index].turned_away += 1;
                    };
                    self.shared.change(away);
                    return Some(format!("ERR MAXCONN {id}\r\n"));
                }
                Some(self.ready())
            }
            "QUERY" => {
                let (_id, text) = (words.next()?, words.next().unwrap_or_default());
                let result = self.query(text).await?;
                let ready = self.ready();
                Some(match result {
                    Ok(rows) => {
                        let signature =
                            self.read(|server| format!("{}.{}", server.id, server.term));
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

    fn ready(&self) -> String {
        let state = match &self.transaction {
            None => "I",
            Some(Transaction { failed: false, .. }) => "T",
            Some(Transaction { failed: true, .. }) => "E",
        };
        let lag = self.shared.settings.lag;
        let (term, number) = self.read(|server| server.applied(lag));
        format!("READY {state} {term}.{number}\r\n")
    }

    /// `None` closes the connection.
    async fn query(&mut self, text: &str) -> Option<Outcome> {
        let (mut verb, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        if verb == "AFTER" {
            let (position, query) = rest.split_once(' ')?;
            let (term, number) = position.split_once('.')?;
            let wanted = (term.parse().ok()?, number.parse().ok()?);
            let lag = self.shared.settings.lag;
            if self.read(|server| server.applied(lag)) < wanted {
                return Some(Err(("LAGGING", self.read(|server| server.id.clone()))));
            }
            (verb, rest) = query.split_once(' ').unwrap_or((query, ""));
        }
        let shape;
        if verb == "EXEC" {
            let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
            let Some(known) = self.names.get(name) else {
                return Some(Err(("NOSTMT", name.to_owned())));
            };
            shape = known.clone();
            verb = shape.split(' ').next().unwrap_or_default();
            rest = arguments;
        }
        if self.is_refused(verb) {
            return Some(Err(("BUSY", self.read(|server| server.id.clone()))));
        }
        Some(match verb {
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => Ok(vec![self.order(verb, rest)]),
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.values.insert(name.to_owned(), value.to_owned());
                Ok(Vec::new())
            }
            "RESET" => {
                self.values.clear();
                self.names.clear();
                Ok(Vec::new())
            }
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ')?;
                self.names.insert(name.to_owned(), shape.to_owned());
                Ok(Vec::new())
            }
            "BEGIN" => {
                if rest.is_empty() && !self.read(|server| server.primary) {
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
        ("READONLY", self.read(|server| server.id.clone()))
    }

    /// A row with the item's data, or `-`; then one with each session value in force.
    async fn fetch(&mut self, item: &str) -> Outcome {
        sleep(WORK).await;
        let lag = self.shared.settings.lag;
        let own = self
            .transaction
            .iter()
            .flat_map(|open| open.writes.iter().rev());
        let own = own
            .into_iter()
            .find(|(key, _)| key == item)
            .map(|(_, data)| data.clone());
        let stored = self.read(|server| {
            let entries: Vec<_> = server.visible(lag).filter(|e| e.item == item).collect();
            entries.last().map(|entry| entry.data.clone())
        });
        let data = own.or(stored).unwrap_or_else(|| "-".to_owned());
        let mut rows = vec![data];
        rows.extend(
            self.values
                .iter()
                .map(|(name, value)| format!("{name}={value}")),
        );
        Ok(rows)
    }

    async fn put(&mut self, rest: &str) -> Outcome {
        sleep(WORK).await;
        let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
        let write = (item.to_owned(), data.to_owned());
        if !self.read(|server| server.primary) {
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

    /// Commits and waits until enough replicas have received it.
    async fn commit(&mut self, writes: Vec<(String, String)>) -> Outcome {
        if writes.is_empty() {
            return Ok(Vec::new());
        }
        if !self.read(|server| server.primary) {
            return Err(self.read_only());
        }
        let index = self.index;
        let position = self
            .shared
            .change(|world| world.database.append(index, &writes));
        loop {
            let sync = self.shared.settings.sync;
            let received = self.shared.change(|world| {
                world.database.replicate();
                world.database.receivers(index, position)
            });
            if received >= sync {
                return Ok(Vec::new());
            }
            if !self.read(|server| server.primary) {
                return Err(("UNKNOWN", "the lead was lost".to_owned()));
            }
            sleep(LOOK).await;
        }
    }

    /// Carries out an order about the lead; the row says how the server stands after it.
    fn order(&mut self, verb: &str, rest: &str) -> String {
        let term: u64 = rest.parse().unwrap_or_default();
        let index = self.index;
        self.shared.change(|world| {
            let server = &mut world.database.servers[index];
            match verb {
                "PAUSE" if !server.primary && term > server.term => server.held = term,
                "RESUME" => server.held = 0,
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
                server.term, server.held
            )
        })
    }
}
