//! Polls a server's status for the failover leader, over a separate connection.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_engine::{
    refusal::Code,
    registry::{Role, Server},
    takeover::{self, Sight, Status, STATUS_INTERVAL},
    time::Moment,
};
use dandelionpitch_platform::{
    backend::{Command, Link},
    Error,
};

use crate::line::{clock, reachability, restart::Observer};

/// How long a request may be unanswered before a connection attempt checks whether the VM is
/// reachable. A status request is queued behind earlier statements.
const CONNECT_CHECK_DELAY: Duration = Duration::from_millis(100);

/// The timeout of a request, longer than the check of an unreachable VM takes to fail.
const STATUS_TIMEOUT: Duration = Duration::from_millis(350);

/// The timeout of a connection attempt that checks whether the VM is reachable: many round trips
/// between data centres. The kernel accepts connections however busy the server is.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How often replicas of a healthy group are polled. Each request has a cost, and only the failure of a
/// primary must be detected sooner.
const HEALTHY_REPLICA_INTERVAL: Duration = Duration::from_millis(500);

/// How long a server that accepts connections may leave requests unanswered before it counts as lost:
/// longer than a slow server needs for a full queue.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(2_500);

/// The timeout of a command in a failover attempt.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// Polls one server and remembers the result.
pub struct Probe {
    pub server: Arc<Server>,
    link: RefCell<Option<Link>>,
    sight: Cell<Sight>,
    last_answered: Cell<Moment>,
    last_asked: Cell<Moment>,
    is_polling: Cell<bool>,
    observer: Observer,
    /// Whether a resume command is in flight.
    is_resuming: Cell<bool>,
    /// The command to send with the next poll, in place of a status request.
    pub next_command: Cell<Option<Command>>,
}

impl Probe {
    /// Creates a probe that has not polled the server yet.
    pub fn new(server: Arc<Server>, observer: Observer) -> Rc<Self> {
        Rc::new(Self {
            server,
            link: RefCell::default(),
            sight: Cell::new(Sight::Unknown),
            last_answered: Cell::new(clock::now()),
            last_asked: Cell::default(),
            is_polling: Cell::default(),
            observer,
            is_resuming: Cell::default(),
            next_command: Cell::default(),
        })
    }

    /// The result of the latest polls.
    pub fn sight(&self) -> Sight {
        self.sight.get()
    }

    /// When the last answered poll was sent, or when the probe was created.
    pub fn last_answered(&self) -> Moment {
        self.last_answered.get()
    }

    /// Whether its statuses are proved to be of the registered incarnation. Without a birth time that cannot
    /// be found out, and waiting would only delay failovers.
    pub fn is_established(&self, synced_until: Moment) -> bool {
        !self.server.incarnation.is_dated() || self.observer.is_established(synced_until)
    }

    /// How current a list of registrations must be for [`Self::is_established`].
    pub fn established_by(&self) -> Option<Moment> {
        self.observer.established_by()
    }

    /// Polls the server if its interval has passed. Replicas are polled less often if their group
    /// `is_healthy`.
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

    /// Cancels a scheduled resume command; returns whether none is in flight either.
    ///
    /// An attempt starts only if this is true for all its members. Otherwise an earlier resume command
    /// could release a replica that the attempt holds.
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
            // The server is overloaded but not lost.
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

    /// Whether the server's VM accepts connections.
    ///
    /// A server under full load answers late, but a failover would not help and would interrupt writes.
    /// So a late answer alone counts as a loss only after [`UNRESPONSIVE_AFTER`].
    async fn accepts_connections(&self) -> bool {
        reachability::can_connect(self.server.address, CONNECT_TIMEOUT).await
    }

    /// Whether the server answered, or the probe was created, less than [`UNRESPONSIVE_AFTER`] before
    /// `asked`.
    fn answered_recently(&self, asked: Moment) -> bool {
        asked.since(self.last_answered.get()) < UNRESPONSIVE_AFTER
    }

    /// Sends a command and returns the server's status after it.
    ///
    /// # Errors
    ///
    /// If the connection fails, there is no answer within `timeout`, the server refuses the
    /// command, or the answer is from another incarnation than the registered one.
    pub async fn send(&self, command: Command, timeout: Duration) -> Result<Status, Error> {
        let asked = clock::now();
        let status = self.exchange(command, timeout).await?;
        self.observer.check(&self.server.incarnation, status, asked)
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
