//! The connection pool of one server: which connections count while transactions are idle.

use std::{
    future::Future,
    io::Write,
    net::{SocketAddr, TcpListener},
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_engine::{
    ownership::Share,
    registry::{Incarnation, Role, Server},
    session::Variables,
    slots::{Load, Mode, Purpose},
};
use dandelionpitch_proxy::{
    line::{
        backend::{
            pool::{checkout::Checkout, Error, Pool},
            request::{Client, Rank, Request},
        },
        clock,
    },
    metrics::Metrics,
};
use tokio::time::timeout;
use yare::parameterized;

use Mode::{Counted, Separate};
use Purpose::{Statement, Transaction};

const TARGET: Duration = Duration::from_millis(100);

/// A server that greets each connection and sends nothing more.
fn greeting_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept() {
            // The proxy may have closed the connection already.
            let _ = stream.write_all(b"READY I -\r\n");
            open.push(stream);
        }
    });
    address
}

/// A pool on which two statements may run; with separate counts, four connections may be checked out.
fn pool(mode: Mode) -> Rc<Pool> {
    let server = Server {
        incarnation: Incarnation::from("server-1"),
        service: "ledger".to_owned(),
        address: greeting_server(),
        dc: "dc-1".to_owned(),
        slots: 4,
        role: Role::Primary,
        leaving: false,
    };
    let held = match mode {
        Counted => 2,
        Separate => 4,
    };
    let share = Share {
        in_use: 2,
        held,
        open: held,
    };
    let connect_timeout = Duration::from_secs(1);
    Pool::new(
        Arc::new(server),
        share,
        mode,
        connect_timeout,
        Metrics::default(),
    )
}

async fn checkout(pool: &Rc<Pool>, purpose: Purpose) -> Result<Checkout, Error> {
    let due = clock::now() + TARGET;
    let request = Request {
        client: Client::Account(None),
        purpose,
        rank: Rank { priority: 1, due },
        deadline: due + TARGET,
    };
    pool.checkout(&Variables::default(), request).await
}

async fn started(pool: &Rc<Pool>, purpose: Purpose) -> Checkout {
    let started = checkout(pool, purpose).await;
    started.unwrap_or_else(|error| panic!("not started: {error:?}"))
}

/// An open transaction whose caller pauses.
async fn paused(pool: &Rc<Pool>) -> Checkout {
    let mut transaction = started(pool, Transaction).await;
    transaction.pause();
    transaction
}

/// Runs a future on the current thread, as the proxy does.
fn run(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().expect("a runtime");
    runtime.block_on(test);
}

/// Statements were refused although the server was idle, because pausing transactions held all
/// connections.
#[parameterized(counted = { Counted, false }, separate = { Separate, true })]
fn statement_starts_beside_idle_transactions(mode: Mode, expected: bool) {
    run(async {
        let pool = pool(mode);
        let transactions = [paused(&pool).await, paused(&pool).await];

        let statement = checkout(&pool, Statement).await;

        assert_eq!(statement.is_ok(), expected, "{:?}", statement.err());
        drop(transactions);
    });
}

/// A statement that waits must start when a transaction becomes idle, not only when a connection is
/// returned.
#[test]
fn waiting_statement_starts_when_a_transaction_pauses() {
    run(async {
        let pool = pool(Separate);
        let mut transaction = started(&pool, Transaction).await;
        let _other = started(&pool, Statement).await;
        let mut waiting = pin!(checkout(&pool, Statement));
        let early = timeout(Duration::from_millis(5), &mut waiting).await;

        transaction.pause();
        let statement = waiting.await;

        assert!(early.is_err(), "both slots are in use");
        assert!(statement.is_ok(), "{:?}", statement.err());
        assert_eq!(pool.load().running, 2);
    });
}

/// Pausing transactions must leave a connection for single statements, and the one that is refused
/// must not delay these.
#[test]
fn transactions_leave_a_connection_for_statements() {
    run(async {
        let pool = pool(Separate);
        let mut transactions = Vec::new();
        for _ in 0..3 {
            transactions.push(paused(&pool).await);
        }
        let mut fourth = pin!(checkout(&pool, Transaction));
        let early = timeout(Duration::from_millis(5), &mut fourth).await;

        for _ in 0..5 {
            started(&pool, Statement).await.release();
        }
        transactions.iter_mut().for_each(Checkout::resume);
        let running = pool.load().running;
        transactions.pop().expect("a transaction").release();

        assert!(early.is_err(), "a transaction waits until another ends");
        assert_eq!(running, 3, "an open transaction always continues");
        transactions.iter_mut().for_each(Checkout::pause);
        assert!(fourth.await.is_ok());
    });
}

/// How a transaction ends while its caller pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Its connection breaks.
    Broken,
    /// Its idle timeout expires: it is rolled back and its connection returned.
    TimedOut,
    /// As before, but the connection breaks during the rollback.
    TimedOutAndBroken,
    /// Its server is removed, and its connection breaks.
    Removed,
    /// Its server is removed, and the transaction commits.
    RemovedAndCommitted,
}

/// Each connection must be counted exactly once, or the pool would lose capacity with each failure. Two
/// calls of `pause` or `resume` count as one.
#[parameterized(
    broken = { End::Broken, 0 },
    timed_out = { End::TimedOut, 1 },
    timed_out_and_broken = { End::TimedOutAndBroken, 0 },
    removed = { End::Removed, 0 },
    removed_and_committed = { End::RemovedAndCommitted, 0 },
)]
fn counts_return_to_zero(end: End, open: usize) {
    for mode in [Counted, Separate] {
        run(async {
            let pool = pool(mode);
            let mut transaction = paused(&pool).await;
            transaction.pause();
            let before = pool.load();

            if matches!(end, End::Removed | End::RemovedAndCommitted) {
                pool.close();
            }
            if !matches!(end, End::Broken | End::Removed) {
                transaction.resume();
                transaction.resume();
            }
            match end {
                End::TimedOut | End::RemovedAndCommitted => transaction.release(),
                End::Broken | End::TimedOutAndBroken | End::Removed => drop(transaction),
            }

            assert_eq!((before.running, before.idle_in_transaction), (0, 1));
            assert_eq!(pool.load(), Load::default());
            assert_eq!(pool.open_connections(), open);
        });
    }
}

/// Guards against using up the connections that a server has left for new owners: those opened beside
/// idle transactions are closed once they are no longer needed.
#[test]
fn connections_beside_idle_transactions_are_closed_later() {
    run(async {
        let pool = pool(Separate);
        let mut checkouts = Vec::new();
        for _ in 0..3 {
            checkouts.push(paused(&pool).await);
        }
        checkouts.push(started(&pool, Statement).await);
        checkouts.into_iter().for_each(Checkout::release);
        let after_burst = pool.open_connections();

        for _ in 0..2 {
            pool.shrink(pool.limit());
        }

        assert_eq!((after_burst, pool.open_connections()), (4, 2));
    });
}

/// A statement may stop waiting after a connection was granted to it, or before. In both cases the next
/// statement must get the connection.
#[parameterized(after = { true }, before = { false })]
fn statement_that_stops_waiting_keeps_no_connection(after: bool) {
    run(async {
        let pool = pool(Separate);
        let mut transaction = started(&pool, Transaction).await;
        let other = started(&pool, Statement).await;
        let mut first = Box::pin(checkout(&pool, Statement));
        let mut second = pin!(checkout(&pool, Statement));
        for waiting in [first.as_mut(), second.as_mut()] {
            let early = timeout(Duration::from_millis(5), waiting).await;
            assert!(early.is_err(), "both slots are in use");
        }

        if after {
            transaction.pause();
        }
        drop(first);
        transaction.pause();
        let second = second.await;
        let remaining = pool.load();
        for checkout in second.into_iter().chain([transaction, other]) {
            drop(checkout);
        }

        assert_eq!((remaining.running, remaining.waiting), (2, 0));
        assert_eq!(pool.load(), Load::default());
    });
}

/// Callers' pauses must not count towards the expected wait: a statement was refused although a
/// connection became free within milliseconds.
#[parameterized(counted = { Counted, false }, separate = { Separate, true })]
fn pauses_do_not_count_towards_the_expected_wait(mode: Mode, expected: bool) {
    run(async {
        let pool = pool(mode);
        for _ in 0..4 {
            let mut transaction = paused(&pool).await;
            tokio::time::sleep(Duration::from_millis(400)).await;
            transaction.resume();
            transaction.release();
        }
        let running = [
            started(&pool, Statement).await,
            started(&pool, Statement).await,
        ];

        let mut waiting = pin!(checkout(&pool, Statement));
        let early = timeout(Duration::from_millis(5), &mut waiting).await;

        assert_eq!(early.is_err(), expected, "waits instead of being refused");
        running.into_iter().for_each(Checkout::release);
        if expected {
            assert!(waiting.await.is_ok());
        }
    });
}
