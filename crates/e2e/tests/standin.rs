//! The stand-ins keep what their faults promise, since the other tests build on it.

mod fixture;

use fixture::{connect_to, insert, start, Process};
use futures::future::join_all;
use tokio::net::TcpStream;
use tokio_postgres::Client;

/// How often the server is killed; a statement that slips through once is a failure.
const KILLS: usize = 100;
/// Connections open at each kill, of which the last to be closed has the most time to answer.
const CONNECTIONS_PER_KILL: usize = 16;

/// A group of three servers and their addresses.
fn group() -> (Process, Vec<String>) {
    let group = start("dp-standin", &["group", "--lag-ms", "20"]);
    let servers = group.first_line.split(',').map(str::to_owned).collect();
    (group, servers)
}

/// Sets a fault of server 0 by a call to another server, which is not affected.
async fn set_fault(via: &Client, fault: &str) {
    let query = format!("SELECT dandelionpitch_fault('{fault}', 0, '')");
    via.simple_query(&query).await.expect("the fault is set");
}

/// A connection to `server` with a transaction open that has written a row.
async fn in_transaction(server: &str) -> Client {
    let client = connect_to(server, "member", "").await;
    client.simple_query("BEGIN").await.expect("begins");
    client.simple_query(&insert("row")).await.expect("runs");
    client
}

/// Whether `server` refuses new connections.
async fn refuses_connections(server: &str) -> bool {
    TcpStream::connect(server).await.is_err()
}

/// Callers have transactions open on a server when it is killed. The kill is answered by another
/// server, and the callers go on right after that answer. None of them may get one, and no new
/// caller is let in: a caller that is told of a row by a server that is gone takes its
/// transaction for alive. Once the start is answered, the server serves again.
#[tokio::test]
async fn killed_server_answers_nothing() {
    let (_group, servers) = group();
    let via = connect_to(&servers[1], "check", "").await;
    let statement = insert("late");
    let mut answered = 0;
    let mut accepted = 0;

    for _ in 0..KILLS {
        let opened = (0..CONNECTIONS_PER_KILL).map(|_| in_transaction(&servers[0]));
        let clients = join_all(opened).await;
        set_fault(&via, "kill").await;
        let sent = clients.iter().map(|client| client.simple_query(&statement));
        let answers = join_all(sent).await;
        accepted += usize::from(!refuses_connections(&servers[0]).await);
        answered += answers.iter().filter(|answer| answer.is_ok()).count();
        set_fault(&via, "start").await;
    }

    assert_eq!(answered, 0, "of {}", KILLS * CONNECTIONS_PER_KILL);
    assert_eq!(accepted, 0, "of {KILLS}");
}
