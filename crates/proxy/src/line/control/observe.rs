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

use crate::line::{clock, reachability, restart};

/// How long a server may take to answer before its VM is asked for a new connection as well. A
/// status waits behind the statements before it.
const LOOK_AFTER: Duration = Duration::from_millis(100);

/// How long a server may take to answer: until after its VM would have been found unreachable.
const ASK_TIMEOUT: Duration = Duration::from_millis(350);

/// How long a live VM needs to accept a connection, whatever its server is busy with: fifty times
/// the way there and back between data centres.
const REACH_TIMEOUT: Duration = Duration::from_millis(150);

/// A replica that answered is asked this often: only primaries have to be missed within half a
/// second, and each question is priced.
const ASK_REPLICAS_EVERY: Duration = Duration::from_millis(500);

/// How long a server that accepts connections may owe an answer before it counts as lost: longer
/// than a full queue of a server that turned five times slower.
const SLOW_LIMIT: Duration = Duration::from_millis(2_500);

/// How long an order may take.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// One server under observation.
pub struct Watcher {
    pub server: Arc<Server>,
    link: RefCell<Option<Link>>,
    sight: Cell<Sight>,
    answered: Cell<Moment>,
    asked: Cell<Moment>,
    busy: Cell<bool>,
    life: Cell<Detector>,
    /// It is being told to receive again.
    resuming: Cell<bool>,
    /// What it is to be told when it is next asked.
    pub order: Cell<Option<Command>>,
}

impl Watcher {
    /// A watcher that has seen nothing.
    pub fn new(server: Arc<Server>) -> Rc<Self> {
        Rc::new(Self {
            server,
            link: RefCell::default(),
            sight: Cell::new(Sight::Unknown),
            answered: Cell::new(clock::now()),
            asked: Cell::default(),
            busy: Cell::default(),
            life: Cell::default(),
            resuming: Cell::default(),
            order: Cell::default(),
        })
    }

    /// How the server looked last.
    pub fn sight(&self) -> Sight {
        self.sight.get()
    }

    /// When it was last asked a question that it answered.
    pub fn answered(&self) -> Moment {
        self.answered.get()
    }

    /// Asks the server if it is time to; less often while its group is `calm`.
    pub fn tick(self: &Rc<Self>, now: Moment, calm: bool) {
        let every = match self.sight.get() {
            Sight::Answered(Status {
                role: Role::Replica,
                held: 0,
                ..
            }) if calm => ASK_REPLICAS_EVERY,
            _ => STATUS_INTERVAL,
        };
        if self.busy.get() || now.since(self.asked.get()) < every {
            return;
        }
        self.busy.set(true);
        self.asked.set(now);
        let watcher = self.clone();
        tokio::task::spawn_local(async move {
            watcher.ask(now).await;
            watcher.busy.set(false);
        });
    }

    /// Takes back an order to receive again that is yet to be given; whether none is under way either.
    ///
    /// Failure: replicas are let go, the order is given with the next question, and meanwhile an
    /// attempt holds them: they are let go in the middle of it. Guard: an attempt begins only when no
    /// such order is left.
    pub fn cancel_resume(&self) -> bool {
        if self.order.get() == Some(Command::Resume) {
            self.order.set(None);
        }
        !self.resuming.get()
    }

    async fn ask(&self, asked: Moment) {
        let order = self.order.take().unwrap_or(Command::Status);
        self.resuming.set(order == Command::Resume);
        self.ask_with(order, asked).await;
        self.resuming.set(false);
    }

    async fn ask_with(&self, order: Command, asked: Moment) {
        let answer = self.order(order, ASK_TIMEOUT);
        let reached = async {
            tokio::time::sleep(LOOK_AFTER).await;
            self.accepts().await
        };
        tokio::pin!(answer, reached);
        let answer = tokio::select! {
            biased;
            answer = &mut answer => answer,
            false = &mut reached => return self.lost(asked),
        };
        match answer {
            Ok(status) => {
                self.sight.set(Sight::Answered(status));
                self.answered.set(asked);
            }
            // It answers, if only to say that it has no time or no room.
            Err(Error::Refused(refusal))
                if matches!(refusal.code, Code::Busy | Code::TooManyConnections)
                    && self.lately(asked) => {}
            Err(Error::Timeout) if self.lately(asked) && self.accepts().await => {}
            Err(_) => self.lost(asked),
        }
    }

    fn lost(&self, asked: Moment) {
        if !matches!(self.sight.get(), Sight::Lost { .. }) {
            let since = takeover::lost_since(asked, clock::now());
            self.sight.set(Sight::Lost { since });
        }
    }

    /// Whether the server's VM still accepts connections.
    ///
    /// Failure: a server under full load answers late, and its group would lose a second of writes
    /// to a failover that helps nobody. Guard: only a VM that accepts nothing is lost at once.
    async fn accepts(&self) -> bool {
        reachability::can_connect(self.server.address, REACH_TIMEOUT).await
    }

    /// Whether the server has answered within [`SLOW_LIMIT`], or is being watched no longer.
    fn lately(&self, asked: Moment) -> bool {
        asked.since(self.answered.get()) < SLOW_LIMIT
    }

    /// Gives the server an order and returns how it stands after it, if it is still the life that is
    /// watched.
    pub async fn order(&self, order: Command, limit: Duration) -> Result<Status, Error> {
        let asked = clock::now();
        let status = self.give(order, limit).await?;
        restart::check_status(&self.life, &self.server.incarnation, status, asked)
    }

    async fn give(&self, order: Command, limit: Duration) -> Result<Status, Error> {
        let link = self.link.borrow_mut().take();
        let give = async {
            let mut link = match link.filter(Link::is_idle) {
                Some(link) => link,
                None => {
                    let server = &self.server;
                    let link = Link::open(server.address, &server.service, server.id()).await?;
                    link.reset_on_close()?;
                    link
                }
            };
            let status = link.status(order).await;
            if matches!(status, Ok(_) | Err(Error::Refused(_))) {
                *self.link.borrow_mut() = Some(link);
            }
            status
        };
        match tokio::time::timeout(limit, give).await {
            Ok(status) => status,
            Err(_) => Err(Error::Timeout),
        }
    }
}
