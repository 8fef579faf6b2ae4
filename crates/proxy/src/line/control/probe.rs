//! How the holder of the failover duty sees the servers: it asks each for its status, over a
//! connection of its own.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_engine::{
    refusal::Code,
    registry::{Role, Server},
    restart::Detector,
    takeover::{self, Sight, Status, STATUS_INTERVAL},
    time::Moment,
};
use dandelionpitch_platform::{
    backend::{Command, Link},
    Error,
};

use crate::line::{clock, life, reach};

/// How long a server may take to answer before its VM is asked for a new connection as well. A
/// status waits behind the statements before it.
const CONNECT_CHECK_DELAY: Duration = Duration::from_millis(100);

/// How long a server may take to answer: until after its VM would have been found unreachable.
const STATUS_TIMEOUT: Duration = Duration::from_millis(350);

/// How long a live VM needs to accept a connection, whatever its server is busy with: fifty times
/// the way there and back between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// A replica that answered is asked this often: only primaries have to be missed within half a
/// second, and each question is priced.
const HEALTHY_REPLICA_INTERVAL: Duration = Duration::from_millis(500);

/// How long a server that accepts connections may owe an answer before it counts as lost: longer
/// than a full queue of a server that turned five times slower.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(2_500);

/// How long an order may take.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// One server under observation.
pub struct Probe {
    pub server: Arc<Server>,
    link: RefCell<Option<Link>>,
    sight: Cell<Sight>,
    last_answered: Cell<Moment>,
    last_asked: Cell<Moment>,
    is_polling: Cell<bool>,
    detector: Cell<Detector>,
    /// It is being told to receive again.
    is_resuming: Cell<bool>,
    /// What it is to be told when it is next asked.
    pub next_command: Cell<Option<Command>>,
}

impl Probe {
    /// A probe that has seen nothing.
    pub fn new(server: Arc<Server>) -> Rc<Self> {
        Rc::new(Self {
            server,
            link: RefCell::default(),
            sight: Cell::new(Sight::Unknown),
            last_answered: Cell::new(clock::now()),
            last_asked: Cell::default(),
            is_polling: Cell::default(),
            detector: Cell::default(),
            is_resuming: Cell::default(),
            next_command: Cell::default(),
        })
    }

    /// How the server looked last.
    pub fn sight(&self) -> Sight {
        self.sight.get()
    }

    /// When it was last asked a question that it answered.
    pub fn last_answered(&self) -> Moment {
        self.last_answered.get()
    }

    /// Asks the server if it is time to; less often while its group is `is_healthy`.
    pub fn poll_if_due(self: &Rc<Self>, now: Moment, is_healthy: bool) {
        let interval = match self.sight.get() {
            Sight::Answered(Status {
                role: Role::Replica,
                held: 0,
                ..
            }) if is_healthy => HEALTHY_REPLICA_INTERVAL,
            _ => STATUS_INTERVAL,
        };
        if self.is_polling.get() || now.since(self.last_asked.get()) < interval {
            return;
        }
        self.is_polling.set(true);
        self.last_asked.set(now);
        let probe = self.clone();
        tokio::task::spawn_local(async move {
            probe.poll(now).await;
            probe.is_polling.set(false);
        });
    }

    /// Takes back an order to receive again that is yet to be given; whether none is under way either.
    ///
    /// Failure: replicas are let go, the order is given with the next question, and meanwhile an
    /// attempt holds them: they are let go in the middle of it. Guard: an attempt begins only when no
    /// such order is left.
    pub fn cancel_resume(&self) -> bool {
        if self.next_command.get() == Some(Command::Resume) {
            self.next_command.set(None);
        }
        !self.is_resuming.get()
    }

    async fn poll(&self, asked: Moment) {
        let command = self.next_command.take().unwrap_or(Command::Status);
        self.is_resuming.set(command == Command::Resume);
        self.poll_with(command, asked).await;
        self.is_resuming.set(false);
    }

    async fn poll_with(&self, command: Command, asked: Moment) {
        let answer = self.send(command, STATUS_TIMEOUT);
        let reachability = async {
            tokio::time::sleep(CONNECT_CHECK_DELAY).await;
            self.accepts_connections().await
        };
        tokio::pin!(answer, reachability);
        let answer = tokio::select! {
            biased;
            answer = &mut answer => answer,
            false = &mut reachability => return self.mark_lost(asked),
        };
        match answer {
            Ok(status) => {
                self.sight.set(Sight::Answered(status));
                self.last_answered.set(asked);
            }
            // It answers, if only to say that it has no time or no room.
            Err(Error::Refused(refusal))
                if matches!(refusal.code, Code::Busy | Code::TooManyConnections)
                    && self.answered_recently(asked) => {}
            Err(Error::Timeout)
                if self.answered_recently(asked) && self.accepts_connections().await => {}
            Err(_) => self.mark_lost(asked),
        }
    }

    fn mark_lost(&self, asked: Moment) {
        if !matches!(self.sight.get(), Sight::Lost { .. }) {
            let since = takeover::lost_since(asked, clock::now());
            self.sight.set(Sight::Lost { since });
        }
    }

    /// Whether the server's VM still accepts connections.
    ///
    /// Failure: a server under full load answers late, and its group would lose a second of writes
    /// to a failover that helps nobody. Guard: only a VM that accepts nothing is lost at once.
    async fn accepts_connections(&self) -> bool {
        reach::connects(self.server.address, CONNECT_TIMEOUT).await
    }

    /// Whether the server has answered within [`UNRESPONSIVE_AFTER`], or is being watched no longer.
    fn answered_recently(&self, asked: Moment) -> bool {
        asked.since(self.last_answered.get()) < UNRESPONSIVE_AFTER
    }

    /// Gives the server an order and returns how it stands after it, if it is still the life that is
    /// watched.
    pub async fn send(&self, command: Command, timeout: Duration) -> Result<Status, Error> {
        let asked = clock::now();
        let status = self.exchange(command, timeout).await?;
        life::admit(&self.detector, &self.server.incarnation, status, asked)
    }

    async fn exchange(&self, command: Command, timeout: Duration) -> Result<Status, Error> {
        let link = self.link.borrow_mut().take();
        let exchange = async {
            let mut link = match link.filter(Link::is_idle) {
                Some(link) => link,
                None => {
                    let server = &self.server;
                    let link = Link::open(server.address, &server.service, server.id()).await?;
                    link.reset_on_close()?;
                    link
                }
            };
            let status = link.status(command).await;
            if matches!(status, Ok(_) | Err(Error::Refused(_))) {
                *self.link.borrow_mut() = Some(link);
            }
            status
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(status) => status,
            Err(_) => Err(Error::Timeout),
        }
    }
}
