//! The connection of a caller or another proxy: reads messages, runs the statements in order and
//! writes the answers. The session's state machine is [`engine::session`].
//!
//! [`engine::session`]: dandelionpitch_engine::session

mod access;
mod reply;
mod targets;

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use dandelionpitch_engine::{
    account::Account,
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

use crate::{
    line::{
        clock, journal,
        shared::Shared,
        traffic::{
            autocommit,
            call::Call,
            forwarding::{self, Outcome},
            origin::{InFlight, Origin},
            transaction::{self, Pinned},
        },
    },
    metrics::Wait,
};

/// The timeout for writing an answer, after which the connection is considered lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The timeout for a caller's first message.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves a new connection in its own task.
pub fn spawn(stream: TcpStream, shared: Rc<Shared>, origin: Origin) {
    tokio::task::spawn_local(async move {
        if let Err(error) = configure_socket(&stream) {
            journal::trouble("caller socket", &error.to_string());
            return;
        }
        // A graceful shutdown waits for other proxies' statements, but not for their connections.
        let count = usize::from(origin == Origin::Caller);
        shared.open_count.set(shared.open_count.get() + count);
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
            key: String::new(),
            account: None,
            account_name: None,
            state: engine::Session::default(),
            route: None,
            pinned: None,
        };
        session.serve().await;
        open.set(open.get() - count);
    });
}

/// What ends the wait for the next message.
enum Event {
    Line(bytes::Bytes, Moment),
    /// The caller has disconnected or violated the protocol.
    Disconnected,
    /// The session is to end, because of a graceful shutdown or a partition of the data centre.
    Close,
    /// The transaction's idle timeout has expired.
    TimedOut,
}

struct Session {
    origin: Origin,
    shared: Rc<Shared>,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    buffer: Buffer,
    out: Vec<u8>,
    database: String,
    /// The caller's secret, from its first message. It must not be logged.
    key: String,
    /// The client account that held the key when the last statement arrived.
    account: Option<Arc<Account>>,
    /// The name of the account, as servers and other proxies are told.
    account_name: Option<Arc<str>>,
    state: engine::Session,
    /// The route of the current statement or open transaction.
    route: Option<Arc<Route>>,
    pinned: Option<Pinned>,
}

impl Session {
    async fn serve(mut self) {
        if !self.start().await {
            return;
        }
        loop {
            match self.next_event().await {
                Event::Line(line, arrived) => {
                    if !self.handle(&line, arrived).await {
                        break;
                    }
                }
                Event::TimedOut => self.time_out_transaction(),
                Event::Disconnected | Event::Close => break,
            }
        }
        if let Some(pinned) = self.pinned.take() {
            pinned.roll_back();
        }
    }

    /// Answers the first message; returns `false` if the session is to end.
    async fn start(&mut self) -> bool {
        let first = tokio::time::timeout(START_TIMEOUT, self.read_line()).await;
        let Ok(Some(line)) = first else {
            return false;
        };
        match line::to_str(&line).and_then(caller::parse_request) {
            Ok(Request::Start { database, key }) => {
                self.database = database.to_owned();
                self.key = key.to_owned();
            }
            _ => return false,
        }
        if self.origin == Origin::Caller {
            self.shared.wait_for_configuration().await;
        }
        let known = self.check_start();
        let ready = self.ready();
        match &known {
            Ok(()) => caller::write_ready(&mut self.out, ready),
            Err(refusal) => caller::write_start_failure(&mut self.out, refusal),
        }
        self.flush().await && known.is_ok()
    }

    /// Waits for the next event. Before the session is closed, its socket is checked for a message that
    /// the runtime has not reported yet, as the caller would get no answer to it.
    async fn next_event(&mut self) -> Event {
        match self.wait_for_event().await {
            Event::Close if self.has_unread() => match self.read_line().await {
                Some(line) => Event::Line(line, clock::now()),
                None => Event::Disconnected,
            },
            next => next,
        }
    }

    /// Whether there is unread data.
    fn has_unread(&self) -> bool {
        !self.buffer.is_empty() || line::has_unread(self.reader.as_ref())
    }

    async fn wait_for_event(&mut self) -> Event {
        let idle = self.state.phase() == Phase::Idle;
        // Another proxy stops forwarding by itself; closing its connection could fail a statement.
        let closes_when_idle = self.origin == Origin::Caller;
        let shared = self.shared.clone();
        let stop = &shared.stop;
        let timeout = self.transaction_idle_timeout();
        tokio::select! {
            biased;
            line = self.read_line() => match line {
                Some(line) => Event::Line(line, clock::now()),
                None => Event::Disconnected,
            },
            () = stop.wait_for_session_end(idle), if closes_when_idle || !idle => Event::Close,
            () = shared.wait_for_isolation_close(), if idle && closes_when_idle => Event::Close,
            () = tokio::time::sleep(timeout), if self.pinned.is_some() => Event::TimedOut,
        }
    }

    fn transaction_idle_timeout(&self) -> Duration {
        let catalog = self.shared.catalog();
        catalog.map_or(Duration::MAX, |catalog| catalog.transaction_idle_timeout)
    }

    /// Rolls back a transaction whose idle timeout has expired, so that idle callers do not hold the
    /// few connections of a server. The caller's next statement is refused.
    fn time_out_transaction(&mut self) {
        if let Some(pinned) = self.pinned.take() {
            pinned.roll_back();
        }
        self.state.timed_out();
        journal::write("rested", json!({ "database": self.database }));
    }

    /// Reads one line; `None` if the caller has disconnected or sent an invalid line. Cancel safe.
    async fn read_line(&mut self) -> Option<bytes::Bytes> {
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

    /// Handles one message; returns `false` if the session is to end.
    async fn handle(&mut self, line: &[u8], arrived: Moment) -> bool {
        if self.origin == Origin::Peer {
            if self.database == feed::SERVICE {
                return self.answer_feed(line).await;
            }
            if let Some(answered) = self.answer_quota(line).await {
                return answered;
            }
        }
        let message = line::to_str(line).and_then(|text| match self.origin {
            Origin::Peer => peer::parse_message(text),
            Origin::Caller => caller::parse_request(text).map(Message::from),
        });
        let Message {
            requirements,
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
                let refusal = Refusal::new(Code::Syntax, "malformed statement");
                self.state.failed();
                self.release_if_failed();
                self.write_answer(id, arrived, Err(refusal));
            }
            Request::Query {
                id,
                text,
                statement,
            } => {
                let in_flight = InFlight::new(&self.shared.open_count, self.origin);
                let result = self
                    .execute(id, text, &statement, requirements, arrived)
                    .await;
                drop(in_flight);
                self.write_answer(id, arrived, result);
            }
        }
        self.flush().await
    }

    /// Runs a statement; returns `None` if it succeeded without a server.
    async fn execute(
        &mut self,
        id: &str,
        text: &str,
        statement: &Statement<'_>,
        requirements: Option<Requirements>,
        arrived: Moment,
    ) -> Result<Option<Success>, Refusal> {
        match self.origin {
            Origin::Caller => self.authorize()?,
            Origin::Peer => self.accept_forwarded(requirements, statement)?,
        }
        let permit = self.take_permit(id, statement).await?;
        let result = self.run(id, text, statement, arrived).await;
        self.refund_if_not_run(permit, &result);
        result
    }

    async fn run(
        &mut self,
        id: &str,
        text: &str,
        statement: &Statement<'_>,
        arrived: Moment,
    ) -> Result<Option<Success>, Refusal> {
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
                self.release_if_failed();
                return Err(refusal);
            }
            Step::Run { effect, execution } => (effect, execution),
        };
        let Some(route) = self.route.clone() else {
            return Err(Refusal::new(Code::NoDatabase, "no route for statement"));
        };
        let account = self.account_name.clone();
        let call = Call {
            id,
            text,
            effect,
            execution: execution.as_ref(),
            route: &route,
            account: account.as_ref(),
            arrived,
            isolated: self.shared.isolation.borrow().is_isolated(arrived),
            sender: self.reader.as_ref(),
            has_waited: Cell::default(),
        };
        let idle = self.state.phase() == Phase::Idle;
        let need = self.need(effect, route.consistency);
        if idle && self.origin == Origin::Peer {
            self.check_breaker(&route.service, need)?;
        }
        if let Some(peers) = self.forwarding_targets(&route, need) {
            let (state, pinned) = (&mut self.state, &mut self.pinned);
            match forwarding::run(&self.shared, &peers, state, pinned, &call).await {
                Outcome::Answered(result) => return result.map(Some),
                Outcome::NoOwner => targets::log_no_owner(&call),
            }
        }
        // If no owner can be reached, the statement runs here: in a partition this proxy may still
        // reach the servers.
        let group = self.shared.group(&route.service);
        let searches = self.pinned.is_none();
        let (state, pinned) = (&mut self.state, &mut self.pinned);
        let result = match idle {
            true => autocommit::run(&group, state, &call).await,
            false => transaction::run(&group, state, pinned, &call).await,
        };
        if call.has_waited.get() && result.is_ok() {
            self.shared.metrics.recovery_wait(Wait::Served);
        }
        if searches {
            self.shared.breakers.note(&route.service, need, &result);
        }
        result.map(Some)
    }

    /// Releases the connection of a failed transaction.
    fn release_if_failed(&mut self) {
        if self.state.phase() == Phase::Failed {
            if let Some(pinned) = self.pinned.take() {
                pinned.roll_back();
            }
        }
    }
}
