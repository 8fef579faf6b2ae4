//! One caller's connection: reads its messages, runs them one after the other and writes the
//! answers. What a statement comes to is decided by [`engine::session`].
//!
//! [`engine::session`]: dandelionpitch_engine::session

mod reply;

use std::{rc::Rc, sync::Arc, time::Duration};

use dandelionpitch_engine::{
    catalog::Route,
    forwarding::Requirements,
    refusal::{Code, Refusal},
    session::{self as engine, Phase, Step},
    statement::Statement,
    time::Moment,
};
use dandelionpitch_platform::{
    backend::{configure_socket, Success},
    caller::{self, Request},
    feed,
    line::{self, Buffer},
    peer::{self, Message},
};
use serde_json::json;
use tokio::net::{
    tcp::{OwnedReadHalf, OwnedWriteHalf},
    TcpStream,
};

use crate::line::{
    backend::Backend,
    clock, journal,
    shared::Shared,
    traffic::{
        call::Call,
        handover::{self, Handed},
        origin::{Origin, UnderWay},
        run,
        transaction::{self, Holder, Pinned},
    },
};

/// How long an answer may take to be taken by its caller before the connection counts as lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a caller has for its first message.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves a new connection in a task of its own.
pub fn spawn(stream: TcpStream, shared: Rc<Shared>, origin: Origin) {
    tokio::task::spawn_local(async move {
        if let Err(error) = configure_socket(&stream) {
            journal::trouble("caller socket", &error.to_string());
            return;
        }
        // A connection of another proxy rests most of the time; only its statements are waited for.
        let counted = usize::from(origin == Origin::Caller);
        shared.open_count.set(shared.open_count.get() + counted);
        let open = shared.open_count.clone();
        let (reader, writer) = stream.into_split();
        let session = Session {
            origin,
            shared,
            reader,
            writer,
            buffer: Buffer::default(),
            out: Vec::new(),
            database: String::new(),
            state: engine::Session::default(),
            route: None,
            pinned: None,
        };
        session.serve().await;
        open.set(open.get() - counted);
    });
}

/// What a session waits for between statements.
enum Next {
    Line(bytes::Bytes, Moment),
    /// The caller has gone, or broke the protocol.
    Gone,
    /// The process stops and nothing is under way.
    Retire,
    /// A transaction has rested too long.
    Rested,
}

struct Session {
    origin: Origin,
    shared: Rc<Shared>,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    buffer: Buffer,
    out: Vec<u8>,
    database: String,
    state: engine::Session,
    /// The route of the open transaction.
    route: Option<Arc<Route>>,
    pinned: Option<Pinned>,
}

impl Session {
    async fn serve(mut self) {
        if !self.start().await {
            return;
        }
        loop {
            match self.next().await {
                Next::Line(line, arrived) => {
                    if !self.handle(&line, arrived).await {
                        break;
                    }
                }
                Next::Rested => self.drop_rested(),
                Next::Gone | Next::Retire => break,
            }
        }
        if let Some(pinned) = self.pinned.take() {
            pinned.roll_back();
        }
    }

    /// Answers the first message; `false` when the session is over.
    async fn start(&mut self) -> bool {
        let first = tokio::time::timeout(START_TIMEOUT, self.line()).await;
        let Ok(Some(line)) = first else {
            return false;
        };
        let database = match line::to_str(&line).and_then(caller::parse_request) {
            Ok(Request::Start { database }) => database.to_owned(),
            _ => return false,
        };
        let known = match self.shared.catalog() {
            _ if self.origin == Origin::Peer => match database.as_str() {
                peer::SERVICE | feed::SERVICE => Ok(()),
                _ => Err(Refusal::new(
                    Code::Moved,
                    "only other proxies are served here",
                )),
            },
            None => Err(Refusal::new(Code::Busy, "starting; come back in 1000 ms")),
            Some(catalog) if !catalog.routes.contains_key(&database) => {
                Err(no_database(&database, catalog.version))
            }
            Some(_) => Ok(()),
        };
        let stand = self.stand();
        match &known {
            Ok(()) => caller::write_ready(&mut self.out, stand),
            Err(refusal) => caller::write_start_failure(&mut self.out, refusal),
        }
        self.database = database;
        self.flush().await && known.is_ok()
    }

    /// The next thing to do. At rest in a planned stop, the session ends.
    ///
    /// Failure: hundreds of sessions end in one turn of the runtime, which does not look at sockets meanwhile; a
    /// statement that has arrived is not seen, and its caller's connection is closed without an
    /// answer. Guard: the socket itself is asked before a session ends at rest.
    async fn next(&mut self) -> Next {
        match self.next_event().await {
            Next::Retire if self.has_unread() => match self.line().await {
                Some(line) => Next::Line(line, clock::now()),
                None => Next::Gone,
            },
            next => next,
        }
    }

    /// Whether anything has arrived that was not read.
    fn has_unread(&self) -> bool {
        !self.buffer.is_empty() || line::has_unread(self.reader.as_ref())
    }

    async fn next_event(&mut self) -> Next {
        let idle = self.state.phase() == Phase::Idle;
        // Other proxies stop asking by themselves; a connection closed under them costs a statement.
        let ends_at_rest = self.origin == Origin::Caller;
        let shared = self.shared.clone();
        let stop = &shared.stop;
        let rest = self.rest_limit();
        tokio::select! {
            biased;
            line = self.line() => match line {
                Some(line) => Next::Line(line, clock::now()),
                None => Next::Gone,
            },
            () = stop.wait_for_session_end(idle), if ends_at_rest || !idle => Next::Retire,
            () = shared.wait_for_isolation_close(), if idle && ends_at_rest => Next::Retire,
            () = tokio::time::sleep(rest), if self.pinned.is_some() => Next::Rested,
        }
    }

    fn rest_limit(&self) -> Duration {
        let catalog = self.shared.catalog();
        catalog.map_or(Duration::MAX, |catalog| catalog.transaction_idle_timeout)
    }

    /// Gives the connection of a resting transaction back to others.
    ///
    /// Failure: callers that open a transaction and go quiet hold the few connections of a server.
    /// Guard: after the configured rest the transaction is rolled back; its next statement is told.
    fn drop_rested(&mut self) {
        if let Some(pinned) = self.pinned.take() {
            pinned.roll_back();
        }
        self.state.timed_out();
        journal::write("rested", json!({ "database": self.database }));
    }

    /// Reads one line; `None` when the caller has gone or sent what is no message. Safe to cancel.
    async fn line(&mut self) -> Option<bytes::Bytes> {
        loop {
            match self.buffer.next_line() {
                Ok(Some(line)) => return Some(line),
                Ok(None) => {}
                Err(_) => return None,
            }
            match self.buffer.fill(&mut self.reader).await {
                Ok(true) => {}
                Ok(false) | Err(_) => return None,
            }
        }
    }

    /// Handles one message; `false` when the session is over.
    async fn handle(&mut self, line: &[u8], arrived: Moment) -> bool {
        if self.origin == Origin::Peer && self.database == feed::SERVICE {
            return self.tell_changes(line).await;
        }
        let message = line::to_str(line).and_then(|text| match self.origin {
            Origin::Peer => peer::parse_message(text),
            Origin::Caller => caller::parse_request(text).map(Message::from),
        });
        let Message {
            requirements: terms,
            request,
        } = match message {
            Ok(message) => message,
            Err(error) => {
                let refusal = Refusal::new(Code::Syntax, error.to_string());
                caller::write_start_failure(&mut self.out, &refusal);
                self.flush().await;
                return false;
            }
        };
        match request {
            Request::Quit | Request::Start { .. } => return false,
            Request::Invalid { id } => {
                let refusal = Refusal::new(Code::Syntax, "not a statement");
                self.state.failed();
                self.release_failed();
                self.answer(id, arrived, Err(refusal));
            }
            Request::Query {
                id,
                text,
                statement,
            } => {
                let under_way = UnderWay::new(&self.shared.open_count, self.origin);
                let result = self.statement(id, text, &statement, terms, arrived).await;
                drop(under_way);
                self.answer(id, arrived, result);
            }
        }
        self.flush().await
    }

    /// Runs a statement; `None` is success without a server.
    async fn statement(
        &mut self,
        id: &str,
        text: &str,
        statement: &Statement<'_>,
        terms: Option<Requirements>,
        arrived: Moment,
    ) -> Result<Option<Success>, Refusal> {
        match self.origin {
            Origin::Caller => self.choose_route()?,
            Origin::Peer => self.take_terms(terms),
        }
        let step = self.state.step(statement, arrived);
        let (effect, execution) = match step {
            Step::Done => return Ok(None),
            Step::Rollback => {
                if let Some(pinned) = self.pinned.take() {
                    pinned.roll_back();
                }
                return Ok(None);
            }
            Step::Refuse(refusal) => {
                self.release_failed();
                return Err(refusal);
            }
            Step::Run { effect, execution } => (effect, execution),
        };
        let Some(route) = self.route.clone() else {
            return Err(Refusal::new(Code::NoDatabase, "no route"));
        };
        let call = Call {
            id,
            text,
            effect,
            execution: execution.as_ref(),
            route: &route,
            arrived,
            isolated: self.shared.isolation.borrow().is_isolated(arrived),
        };
        let alone = self.state.phase() == Phase::Idle;
        if let Some(peers) = self.peers(&route) {
            match self.hand_over(&peers, alone, &call).await {
                Handed::Answered(result) => return result.map(Some),
                Handed::Nobody => note_nobody(&call),
            }
        }
        // Also where others hold the connections but none of them can be reached: a proxy that is cut
        // off from the others may reach the servers, and its callers have nobody else.
        let group = self.shared.group(&route.service);
        let (state, pinned) = (&mut self.state, &mut self.pinned);
        let result = match alone {
            true => run::alone(&group, state, &call).await,
            false => transaction::inside(&group, state, pinned, &call).await,
        };
        result.map(Some)
    }

    /// The proxies that the statement is handed to; `None` if it is run here. A transaction stays where
    /// it was begun.
    fn peers(&self, route: &Route) -> Option<Vec<Rc<Backend>>> {
        match (&self.pinned, self.origin) {
            (Some(pinned), _) if pinned.holder == Holder::Peer => Some(Vec::new()),
            (None, Origin::Caller) => self.shared.peers.forwarding_targets(&route.service),
            _ => None,
        }
    }

    async fn hand_over(&mut self, peers: &[Rc<Backend>], alone: bool, call: &Call<'_>) -> Handed {
        let (state, pinned) = (&mut self.state, &mut self.pinned);
        match alone {
            true => handover::alone(&self.shared, peers, state, call).await,
            false => handover::inside(&self.shared, peers, state, pinned, call).await,
        }
    }

    /// Takes the terms of another proxy's statement in place of a route of the own configuration. A
    /// statement that starts on a resting connection is of any session, whose last commit they name.
    fn take_terms(&mut self, terms: Option<Requirements>) {
        let Some(terms) = terms else { return };
        if self.state.phase() == Phase::Idle {
            self.state.set_floor(terms.floor);
        }
        self.route = Some(Arc::new(Route::from(terms)));
    }

    /// A transaction keeps the route that it began with; everything else follows the configuration
    /// in force.
    fn choose_route(&mut self) -> Result<(), Refusal> {
        if self.state.phase() != Phase::Idle && self.route.is_some() {
            return Ok(());
        }
        let catalog = self.shared.catalog();
        let version = catalog.as_ref().map_or(0, |catalog| catalog.version);
        let route = catalog.and_then(|catalog| catalog.routes.get(&self.database).cloned());
        let moved = |old: &Arc<Route>| route.as_ref().is_some_and(|r| r.service != old.service);
        if self.route.as_ref().is_some_and(moved) {
            self.state.clear_floor();
        }
        self.route = route;
        match self.route {
            Some(_) => Ok(()),
            None => Err(no_database(&self.database, version)),
        }
    }

    /// A failed transaction keeps no connection.
    fn release_failed(&mut self) {
        if self.state.phase() == Phase::Failed {
            if let Some(pinned) = self.pinned.take() {
                pinned.roll_back();
            }
        }
    }
}

/// One log line for a statement that no owner of its group could be offered.
fn note_nobody(call: &Call<'_>) {
    journal::write(
        "no owner reached",
        json!({ "id": call.id, "service": call.route.service,
            "after_ms": call.waited().as_millis() as u64 }),
    );
}

fn no_database(name: &str, version: u64) -> Refusal {
    let why = format!("no database {name:?} in version {version} of the configuration");
    Refusal::new(Code::NoDatabase, why)
}
