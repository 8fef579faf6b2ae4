//! The stand-in's faults behave as documented, since the other tests depend on them.

mod fixture;

use fixture::{connect_to, insert, start, Process};
use futures::future::join_all;
use tokio::net::TcpStream;
use tokio_postgres::Client;

/// Many repetitions, as the race between a kill and a late answer is rare.
const KILLS: usize = 100;
/// The more connections there are to close, the more time the last one has to answer.
const CONNECTIONS_PER_KILL: usize = 16;

/// Starts a group of three servers; returns the process and the addresses.
fn group() -> (Process, Vec<String>) {
    let group = start("dp-standin", &["group", "--lag-ms", "20"]);
    let servers = group.first_line.split(',').map(str::to_owned).collect();
    (group, servers)
}

/// Sets a fault of server 0 through a connection to another server.
async fn set_fault(via: &Client, fault: &str) {
    let query = format!("SELECT dandelionpitch_fault('{fault}', 0, '')");
    via.simple_query(&query).await.expect("the fault is set");
}

/// Connects to `server` and writes a row in a transaction, which stays open.
async fn in_transaction(server: &str) -> Client {
    let client = connect_to(server, "member", "").await;
    client.simple_query("BEGIN").await.expect("BEGIN succeeds");
    client
        .simple_query(&insert("row"))
        .await
        .expect("the statement succeeds");
    client
}

/// Whether `server` refuses new connections.
async fn refuses_connections(server: &str) -> bool {
    TcpStream::connect(server).await.is_err()
}

/// Once the kill of a server is acknowledged, the server must not answer any statement or accept a
/// connection. Otherwise a caller takes a transaction for open that is lost.
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
